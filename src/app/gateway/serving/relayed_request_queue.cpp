#include "app/gateway/serving/relayed_request.hpp"

#include <algorithm>

// Queueing of a request until a backend server has capacity for it.

namespace pomelorouter::app
{

namespace asio = boost::asio;
using coordination::backend_choice;
using coordination::choice_failure;
using state::milliseconds;
using state::now;
using state::since;

namespace
{

/// Fraction of the time limit that a request may wait for weights to be loaded.
constexpr double max_weight_wait_fraction = 0.6;
/// Interval between decisions about a waiting request.
constexpr milliseconds longest_wait{30};

} // namespace

backend_choice relayed_request::choose_now()
{
    if (this->is_quarantined())
    {
        backend_choice none;
        none.failure = choice_failure::quarantined;
        return none;
    }
    backend_choice choice = this->choose_backend();
    const std::vector<std::string> wanted = std::move(choice.without_permit);
    if (wanted.empty())
        return choice;
    const bool is_urgent =
        !choice.backend ||
        choice.queue_ms > coordination::queue_limit_ms(
                              this->room,
                              static_cast<double>(since(this->started).count()),
                              choice.idle_ms);
    for (const std::string& backend : wanted)
        this->shared.limits.on_wanted(backend, is_urgent);
    this->shared.on_permits_wanted();
    // This gateway may have issued the permit itself.
    const bool has_permit =
        std::any_of(wanted.begin(), wanted.end(),
                    [this](const std::string& backend)
                    { return this->shared.limits.may_send(now(), backend); });
    return has_permit ? this->choose_backend() : choice;
}

backend_choice relayed_request::choose_backend()
{
    return this->shared.chooser.choose(now(), this->shared.directory, this->shared.loads,
                                       this->shared.limits, this->demand, this->tried,
                                       this->shared.random.unit());
}

asio::awaitable<backend_choice> relayed_request::choose()
{
    backend_choice choice = this->choose_now();
    // A retry is not queued: its caller has already waited.
    if (this->attempts > 0)
        co_return choice;
    const bool is_limited = choice.failure == choice_failure::limited;
    if (this->demand.model.empty() && !is_limited)
        co_return choice;
    const bool is_missing = choice.failure == choice_failure::model_missing ||
                            choice.failure == choice_failure::adapter_missing ||
                            choice.failure == choice_failure::paused ||
                            choice.is_memory_full || choice.has_behind_streams ||
                            is_limited;
    const bool has_queue = this->shared.queue.size() > 0;
    const bool is_held = choice.backend && ((has_queue && !this->is_resumed) ||
                                            this->decide(choice, true, 0.0).action !=
                                                coordination::room_action::send);
    if (is_missing || is_held)
        choice = co_await this->wait_in_queue();
    co_return choice;
}

milliseconds relayed_request::stream_time() const
{
    const coordination::engine_pace pace =
        this->shared.chooser.speeds().of(now(), this->demand.service);
    const double ms_per_output_token =
        pace.ms_per_output_token(this->demand.engine_slots);
    return milliseconds(
        static_cast<std::int64_t>(this->demand.output_tokens * ms_per_output_token));
}

bool relayed_request::is_late(double idle_ms) const
{
    return since(this->started) + milliseconds(static_cast<std::int64_t>(idle_ms)) >
           this->route->target_latency;
}

coordination::waiting_work
relayed_request::work_at_peers(const protocol::tokens_by_rank& tokens, double idle_ms,
                               std::size_t engines) const
{
    double sum = 0.0;
    for (std::size_t rank = 0; rank <= this->queue_rank(idle_ms); ++rank)
        sum += tokens[rank];
    coordination::waiting_work result;
    // Assumes that the other prompts take as long for each token as this one.
    result.others_ms = sum * idle_ms / std::max(1.0, this->demand.prompt_tokens * 1.0);
    result.engines = std::max<std::size_t>(engines, 1);
    return result;
}

std::size_t relayed_request::queue_rank(double idle_ms) const
{
    constexpr int late_rank = static_cast<int>(protocol::queue_ranks) - 1;
    return static_cast<std::size_t>(
        this->is_late(idle_ms) ? late_rank
                               : std::clamp(this->route->priority, 0, late_rank - 1));
}

coordination::room_decision relayed_request::decide(const backend_choice& choice,
                                                    bool is_next, double own_ahead_ms)
{
    if (this->is_resumed)
    {
        // Its caller has waited already, as for a stream that the gateway continues.
        coordination::room_decision decision;
        decision.action = coordination::room_action::send;
        return decision;
    }
    coordination::room_request request;
    request.urgency = this->room;
    request.waited_ms = static_cast<double>(since(this->started).count());
    request.left_ms = static_cast<double>(this->time_left().count()) - choice.stream_ms;
    request.idle_ms = choice.idle_ms;
    request.queue_ms = choice.queue_ms;
    request.is_next = is_next;
    const coordination::queued_tokens queued =
        this->shared.demand.peer_queue(now(), this->demand.service, this->demand.model);
    request.model = this->work_at_peers(queued.model, choice.idle_ms, choice.candidates);
    request.service =
        this->work_at_peers(queued.service, choice.idle_ms,
                            this->shared.directory.count(this->demand.service));
    if (!this->room.is_ranked)
    {
        // Assumes that the other gateways have equally long queues.
        request.model.others_ms =
            own_ahead_ms * static_cast<double>(this->shared.gateways - 1);
        request.service = request.model;
    }
    request.model.own_ms = own_ahead_ms;
    request.service.own_ms = own_ahead_ms;
    const bool is_first = this->decided_at == state::time_point{};
    request.interval_ms =
        is_first
            ? static_cast<double>(longest_wait.count())
            : std::chrono::duration<double, std::milli>(now() - this->decided_at).count();
    this->decided_at = now();
    const coordination::room_decision decision =
        coordination::decide_room(request, this->shared.random.unit());
    this->engine_queue_ms = request.queue_ms;
    this->queue_limit_ms = decision.limit_ms;
    this->queue_time =
        milliseconds(static_cast<std::int64_t>(decision.wait_ms + choice.idle_ms));
    return decision;
}

void relayed_request::set_queued(std::optional<std::size_t> rank)
{
    if (rank == this->queued_as)
        return;
    const coordination::weight_name name{this->demand.service, this->demand.model,
                                         this->demand.adapter};
    if (this->queued_as)
        this->shared.demand.on_queue_left(name, *this->queued_as,
                                          this->demand.prompt_tokens);
    if (rank)
        this->shared.demand.on_queued(name, *rank, this->demand.prompt_tokens);
    this->queued_as = rank;
}

bool relayed_request::may_become_available(const backend_choice& choice) const
{
    if (choice.failure == choice_failure::overloaded && !choice.is_memory_full &&
        !choice.has_behind_streams)
        return false;
    if (choice.failure == choice_failure::paused)
        return choice.available_at + this->stream_time() < this->deadline;
    const auto longest = std::chrono::duration_cast<milliseconds>(
        (this->deadline - this->started) * max_weight_wait_fraction);
    const milliseconds limit = std::min(this->route->target_latency, longest);
    if (choice.failure == choice_failure::limited)
        return choice.available_at < this->started + limit;
    return since(this->started) < limit;
}

void relayed_request::on_refused(const coordination::room_decision& decision)
{
    switch (decision.reason)
    {
    case coordination::refusal_reason::none:
        // The choice names the reason.
        this->last_problem = "";
        return;
    case coordination::refusal_reason::deadline:
        this->shared.refused_by_deadline.add();
        break;
    case coordination::refusal_reason::target:
        this->shared.refused_by_target.add();
        break;
    }
    this->last_problem =
        "the queues are too long for the " + std::string(to_string(decision.reason));
}

asio::awaitable<backend_choice> relayed_request::wait_in_queue()
{
    const coordination::weight_name name{this->demand.service, this->demand.model,
                                         this->demand.adapter};
    backend_choice choice = this->choose_now();
    const std::string& group =
        this->demand.model.empty() ? this->demand.service : this->demand.model;
    const auto ticket = this->shared.queue.enter(
        {group, this->rank(), this->started,
         this->started + this->route->target_latency -
             milliseconds(static_cast<std::int64_t>(choice.idle_ms)),
         choice.idle_ms});
    // Names that the configuration does not have would take the place of others in the
    // reports to other gateways.
    const bool is_awaited =
        this->can_be_loaded && (choice.failure == choice_failure::model_missing ||
                                choice.failure == choice_failure::adapter_missing);
    if (is_awaited)
    {
        this->shared.demand.on_wait(name);
        this->shared.backends_changed.notify();
    }
    this->shared.requests_held.add();
    while (!this->is_aborted())
    {
        coordination::room_decision decision;
        if (choice.backend)
            decision = this->decide(choice, this->shared.queue.is_next(now(), ticket),
                                    this->shared.queue.work_ahead_ms(now(), ticket));
        else if (!this->may_become_available(choice))
            decision.action = coordination::room_action::refuse;
        if (decision.action == coordination::room_action::send)
        {
            this->shared.requests_released.add();
            break;
        }
        if (this->shared.refuses_new_requests)
        {
            // Refuses now, so that the caller can retry at another gateway while there is
            // time.
            choice.failure = choice_failure::stopping;
            choice.backend = nullptr;
            break;
        }
        if (choice.failure == choice_failure::quarantined)
            break;
        if (decision.action == coordination::room_action::refuse)
        {
            this->on_refused(decision);
            if (choice.backend)
                choice.failure = choice_failure::overloaded;
            choice.backend = nullptr;
            break;
        }
        this->shared.queue.set_held(ticket, !choice.backend || this->engine_queue_ms >
                                                                   this->queue_limit_ms);
        const bool waits_for_room = choice.backend && !this->demand.model.empty();
        this->set_queued(
            waits_for_room ? std::optional<std::size_t>(this->queue_rank(choice.idle_ms))
                           : std::nullopt);
        // Re-evaluates periodically, since load changes at other gateways send no
        // notification.
        co_await this->shared.loads_changed.wait(longest_wait);
        choice = this->choose_now();
    }
    this->set_queued(std::nullopt);
    if (is_awaited)
        this->shared.demand.on_wait_ended(name);
    this->shared.queue.leave(ticket);
    this->shared.loads_changed.notify();
    co_return choice;
}

} // namespace pomelorouter::app
