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
/// Time per output token of a stream at a busy engine.
constexpr double ms_per_output_token = 25.0;

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
    const bool is_urgent = !choice.backend || !this->has_room(choice);
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
                            choice.failure == choice_failure::paused || is_limited;
    const bool is_busy = choice.backend && !this->has_room(choice);
    const bool has_queue = this->shared.queue.size() > 0;
    if (is_missing || is_busy || (choice.backend && has_queue))
        choice = co_await this->wait_in_queue();
    co_return choice;
}

milliseconds relayed_request::stream_time() const
{
    return milliseconds(
        static_cast<std::int64_t>(this->demand.output_tokens * ms_per_output_token));
}

int relayed_request::rank() const
{
    return this->route->priority;
}

bool relayed_request::is_late(double idle_ms) const
{
    return since(this->started) + milliseconds(static_cast<std::int64_t>(idle_ms)) >
           this->route->target_latency;
}

bool relayed_request::has_room(const backend_choice& choice)
{
    this->engine_queue_ms = choice.expected_ms - choice.idle_ms;
    this->queue_limit_ms = coordination::queue_limit_ms(
        this->room, static_cast<double>(since(this->started).count()), choice.idle_ms);
    return this->engine_queue_ms <= this->queue_limit_ms;
}

bool relayed_request::may_be_sent(const backend_choice& choice,
                                  coordination::admission_queue::ticket ticket)
{
    return choice.backend && this->has_room(choice) &&
           this->shared.queue.is_next(now(), ticket);
}

double relayed_request::queue_ms(const backend_choice& choice,
                                 coordination::admission_queue::ticket ticket) const
{
    // Assumes that the other gateways have equally long queues.
    const double ahead_ms =
        this->shared.queue.work_ahead_ms(now(), ticket) *
        static_cast<double>(this->shared.gateways) /
        static_cast<double>(std::max<std::size_t>(choice.candidates, 1));
    return choice.expected_ms + ahead_ms;
}

bool relayed_request::can_finish_in_time(const backend_choice& choice,
                                         coordination::admission_queue::ticket ticket)
{
    if (choice.backend)
    {
        const double queue = this->queue_ms(choice, ticket);
        this->queue_time = milliseconds(static_cast<std::int64_t>(queue));
        return this->queue_time < this->time_left() - this->stream_time();
    }
    if (choice.failure == choice_failure::paused)
        return choice.available_at + this->stream_time() < this->deadline;
    const auto longest = std::chrono::duration_cast<milliseconds>(
        (this->deadline - this->started) * max_weight_wait_fraction);
    const milliseconds limit = std::min(this->route->target_latency, longest);
    if (choice.failure == choice_failure::limited)
        return choice.available_at < this->started + limit;
    return since(this->started) < limit;
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
    const bool is_missing = choice.failure == choice_failure::model_missing ||
                            choice.failure == choice_failure::adapter_missing;
    if (is_missing)
    {
        this->shared.demand.on_wait(name);
        this->shared.backends_changed.notify();
    }
    while (!this->is_aborted() && !this->may_be_sent(choice, ticket))
    {
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
        if (!this->can_finish_in_time(choice, ticket))
        {
            this->last_problem = choice.backend ? "the queues are too long" : "";
            if (choice.backend)
                choice.failure = choice_failure::overloaded;
            choice.backend = nullptr;
            break;
        }
        // Re-evaluates periodically, since load changes at other gateways send no
        // notification.
        constexpr milliseconds longest_wait{30};
        co_await this->shared.loads_changed.wait(longest_wait);
        choice = this->choose_now();
    }
    if (is_missing)
        this->shared.demand.on_wait_ended(name);
    this->shared.queue.leave(ticket);
    this->shared.loads_changed.notify();
    co_return choice;
}

} // namespace pomelorouter::app
