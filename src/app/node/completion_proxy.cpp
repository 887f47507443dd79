#include "app/node/completion_proxy.hpp"

#include "app/node/caller_output.hpp"
#include "app/node/completion_limits.hpp"
#include "state/error.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using protocol::completion_form;
using protocol::run_state;
using state::attribute;
using state::error;
using state::error_code;
using state::milliseconds;

namespace
{

constexpr std::size_t max_attempts = 8;
constexpr milliseconds tick_period{20};
// Looking for callers that went away costs a system call for each request in flight.
constexpr int ticks_per_caller_check = 5;
constexpr milliseconds default_retry_after{1000};
// A request waits for a copy of its model for at most half of its time. A caller that is
// refused then still has the other half to try another node.
constexpr int copy_wait_divisor = 2;

state::time_point now()
{
    return std::chrono::steady_clock::now();
}

/// Whether the engine itself said that the request was not run because it does not have
/// the model or is leaving. Such an answer costs the engine nothing, and each engine
/// gives it only until the next view, so going on elsewhere takes nothing from the retry
/// budget.
bool is_free_move(attempt_result result)
{
    return result == attempt_result::not_resident || result == attempt_result::leaving;
}

} // namespace

/// Drops the tokens of a probe.
class completion_proxy::discarded_output : public token_sink
{
public:
    void add(const std::string&) override {}
    asio::awaitable<void> flush() override { co_return; }
};

/// What the requests of one node share.
struct completion_proxy::core : std::enable_shared_from_this<core>
{
    core(std::string node, const view_cell& views, transport::http_client& http,
         asio::any_io_executor loop_executor, state::counter_registry& counters)
        : node_id(std::move(node)),
          client(http),
          executor(std::move(loop_executor)),
          chooser(views, counters),
          gate(executor),
          attempts("completion", counters),
          probe_attempts("probe", counters),
          completions(counters.count("completions_total", "completions fully delivered")),
          refused(counters.count("completions_refused_total",
                                 "completions refused or given up")),
          retries(counters.count("completion_retries_total",
                                 "further attempts paid by the retry budget")),
          moves(counters.count("completion_moves_total",
                               "calls that hung and were moved to another engine")),
          abandoned(counters.count("completions_abandoned_total",
                                   "completions whose caller went away"))
    {
    }

    void tick(state::time_point time);
    void send_probes(state::time_point time);
    static asio::awaitable<void> probe(std::shared_ptr<core> shared,
                                       std::shared_ptr<completion_state> request,
                                       chosen_engine engine);
    void check(active_request& request, state::time_point time, bool check_caller);

    std::string node_id;
    transport::http_client& client;
    asio::any_io_executor executor;
    engine_chooser chooser;
    admission_gate gate;
    coordination::retry_budget budget;
    attempt_counters attempts;
    attempt_counters probe_attempts;
    request_id_source ids;
    std::set<active_request*> active;
    int ticks_until_caller_check = 0;
    /// Set when the proxy is destroyed; requests that end later change nothing.
    bool is_closed = false;
    state::counter& completions;
    state::counter& refused;
    state::counter& retries;
    state::counter& moves;
    state::counter& abandoned;
};

/// One request in flight, as the periodic checks see it.
class completion_proxy::active_request
{
public:
    active_request(core& owner, transport::http_exchange& caller)
        : shared(owner), exchange(caller), output(caller, state)
    {
        this->shared.active.insert(this);
    }

    ~active_request()
    {
        if (this->shared.is_closed)
            return;
        this->shared.active.erase(this);
        if (this->is_admitted)
            this->shared.gate.leave(this->state, now());
    }
    active_request(const active_request&) = delete;
    active_request& operator=(const active_request&) = delete;

    core& shared;
    transport::http_exchange& exchange;
    completion_state state;
    caller_output output;
    std::optional<engine_attempt> attempt;
    coordination::admission_limits limits;
    bool is_admitted = false;
    /// The next attempt is paid already, by the move of a call that hung.
    bool is_paid = false;
    bool is_late = false;
    /// The final response is being written; the caller may close its end after it.
    bool is_answering = false;
};

void completion_proxy::core::tick(state::time_point time)
{
    if (this->chooser.tick(time))
        this->gate.on_change();
    this->gate.tick(time);
    const bool check_caller = --this->ticks_until_caller_check <= 0;
    if (check_caller)
        this->ticks_until_caller_check = ticks_per_caller_check;
    for (active_request* request : this->active)
        this->check(*request, time, check_caller);
    this->send_probes(time);
}

void completion_proxy::core::send_probes(state::time_point time)
{
    for (;;)
    {
        auto request = std::make_shared<completion_state>();
        auto engine = this->chooser.begin_probe(*request, time);
        if (!engine)
            return;
        request->identity.id = this->ids.next();
        asio::co_spawn(this->executor,
                       probe(this->shared_from_this(), std::move(request), *engine),
                       asio::detached);
    }
}

asio::awaitable<void>
completion_proxy::core::probe(std::shared_ptr<core> shared,
                              std::shared_ptr<completion_state> request,
                              chosen_engine engine)
{
    // A request of the node's own, so that no caller waits for an engine that is slow.
    discarded_output output;
    engine_attempt attempt(*request, engine, shared->chooser, shared->client, output,
                           shared->probe_attempts);
    co_await attempt.run(shared->executor);
}

void completion_proxy::core::check(active_request& request, state::time_point time,
                                   bool check_caller)
{
    completion_state& state = request.state;
    if (request.is_answering)
        return;
    if (check_caller && !state.caller_gone && request.exchange.client_has_closed())
    {
        state.caller_gone = true;
        this->gate.abandon(state);
        if (request.attempt)
            request.attempt->cancel();
    }
    if (!request.attempt || state.caller_gone)
        return;
    // A stream that has begun goes on past its deadline while it makes progress.
    if (time >= state.deadline && !request.exchange.has_responded())
    {
        request.is_late = request.attempt->cancel() || request.is_late;
        return;
    }
    const bool may_move =
        state.attributes.policy() == state::routing_policy_kind::expected_wait &&
        !request.is_paid && request.attempt->should_move(time);
    if (!may_move || !this->chooser.has_alternative(state, time) ||
        !this->budget.try_take())
        return;
    if (!request.attempt->cancel())
    {
        this->budget.give_back();
        return;
    }
    request.is_paid = true;
    this->moves.add();
}

completion_proxy::completion_proxy(const std::string& node_id, const view_cell& views,
                                   transport::http_client& client,
                                   asio::any_io_executor executor,
                                   transport::timer_service& timers,
                                   state::counter_registry& counters)
    : shared(std::make_shared<core>(node_id, views, client, executor, counters)),
      ticks(timers.every(tick_period, executor,
                         [core = this->shared.get()](state::time_point time)
                         { core->tick(time); }))
{
}

completion_proxy::~completion_proxy()
{
    this->shared->is_closed = true;
}

asio::awaitable<void> completion_proxy::handle(transport::http_exchange& exchange,
                                               completion_form form)
{
    const std::shared_ptr<core> keep = this->shared;
    active_request active(*keep, exchange);
    completion_state& request = active.state;
    request.received = now();
    request.completion =
        protocol::parse_completion_request(exchange.request().body(), form);
    const std::shared_ptr<const state::node_view> view = keep->chooser.refresh();
    resolve_request(request, *view, exchange.request());
    active.limits = limits_of(request, *view, keep->node_id);
    request.identity.id = keep->ids.next();
    request.identity.form = form;
    keep->chooser.estimate(request);
    keep->budget.on_request(request.attributes.get(attribute::retry_percent));

    const state::microseconds engine_wait =
        keep->chooser.expected_wait(request, request.received);
    const gate_result entry =
        co_await keep->gate.enter(request, active.limits, engine_wait);
    if (entry.outcome == gate_outcome::refused)
    {
        keep->refused.add();
        protocol::refusal refusal(
            error(entry.reason, request.model_key, "less load or a later deadline"));
        refusal.retry_after = entry.retry_after;
        active.is_answering = true;
        co_await active.output.fail(refusal);
        co_return;
    }
    active.is_admitted = entry.outcome == gate_outcome::admitted;
    if (active.is_admitted)
        co_await serve(*keep, active);
    if (request.caller_gone)
        keep->abandoned.add();
}

asio::awaitable<void> completion_proxy::serve(core& shared, active_request& active)
{
    completion_state& request = active.state;
    coordination::retry_backoff backoff(request.attributes);
    asio::steady_timer pause(shared.executor);
    const state::time_point wait_limit =
        request.received + (request.deadline - request.received) / copy_wait_divisor;
    error_code reason = error_code::no_backend_server;
    for (std::size_t count = 0; count < max_attempts && now() < request.deadline;)
    {
        const engine_choice choice = shared.chooser.choose(request, now());
        if (!choice.engine)
        {
            if (choice.failure == choice_failure::all_tried)
                break;
            reason = choice.failure == choice_failure::no_room
                         ? error_code::overloaded
                         : error_code::model_not_resident;
            if (now() >= wait_limit ||
                !co_await shared.gate.wait_for_change(request, active.limits, wait_limit))
                break;
            if (request.caller_gone)
                co_return;
            forget_not_resident(request);
            continue;
        }
        ++count;
        active.attempt.emplace(request, *choice.engine, shared.chooser, shared.client,
                               active.output, shared.attempts);
        const attempt_result result = co_await active.attempt->run(shared.executor);
        active.attempt.reset();
        if (result == attempt_result::finished)
        {
            shared.chooser.on_finished(request);
            shared.completions.add();
            active.is_answering = true;
            co_await active.output.finish();
            co_return;
        }
        if (result == attempt_result::caller_gone || request.caller_gone)
            co_return;
        request.tried.push_back(choice.engine->slot);
        if (result == attempt_result::not_resident)
            request.not_resident.push_back(choice.engine->slot);
        reason = result == attempt_result::queue_full ? error_code::overloaded
                                                      : error_code::no_backend_server;
        if (active.is_late)
            break;
        if (is_free_move(result) || std::exchange(active.is_paid, false))
            continue;
        if (!shared.chooser.has_alternative(request, now()) || !shared.budget.try_take())
            break;
        shared.retries.add();
        const auto delay =
            backoff.next(now(), request.deadline, shared.chooser.random_numbers());
        if (!delay)
            break;
        pause.expires_after(*delay);
        co_await pause.async_wait(asio::use_awaitable);
    }
    shared.refused.add();
    if (now() >= request.deadline)
        reason = error_code::timed_out;
    protocol::refusal refusal(
        error(reason, request.model_key, "an engine that answers in time"));
    refusal.run = request.may_have_run ? run_state::unknown : run_state::not_run;
    refusal.retry_after = default_retry_after;
    active.is_answering = true;
    co_await active.output.fail(refusal);
}

} // namespace pomelorouter::app
