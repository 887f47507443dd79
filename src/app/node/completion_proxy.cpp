#include "app/node/completion_proxy.hpp"

#include "app/node/completion_core.hpp"
#include "app/node/completion_limits.hpp"
#include "coordination/retry_backoff.hpp"
#include "state/error.hpp"

#include <boost/asio/redirect_error.hpp>
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
using state::now;

namespace
{

constexpr std::size_t max_attempts = 8;
constexpr milliseconds tick_period{20};
constexpr milliseconds default_retry_after{1000};
// A request waits for a copy of its model for at most half of the time until its
// deadline, so that a caller that is refused has the other half left to try another node.
constexpr int copy_wait_divisor = 2;

/// Counts a caller as waiting for a model that is not resident, from construction to
/// destruction.
class waiting_caller
{
public:
    waiting_caller(demand_tracker& tracker, const protocol::completion_request& request)
        : demand(tracker), model(request.model), adapter(request.adapter)
    {
        this->demand.begin_waiting(this->model, this->adapter);
    }
    ~waiting_caller() { this->demand.end_waiting(this->model, this->adapter); }
    waiting_caller(const waiting_caller&) = delete;
    waiting_caller& operator=(const waiting_caller&) = delete;

private:
    demand_tracker& demand;
    std::string model;
    std::string adapter;
};

/// Whether the engine itself reported that it did not run the request because it does not
/// have the model or is leaving. Such a response costs the engine nothing, and an engine
/// is asked only until the next view shows its state, so the next attempt is not charged
/// to the retry budget.
bool is_free_retry(attempt_result result)
{
    return result == attempt_result::not_resident || result == attempt_result::leaving;
}

} // namespace

completion_proxy::completion_proxy(const std::string& node_id, const view_cell& views,
                                   transport::http_client& client,
                                   asio::any_io_executor executor,
                                   transport::timer_service& timers,
                                   demand_tracker& demand,
                                   state::counter_registry& counters)
    : shared(std::make_shared<completion_core>(node_id, views, client, executor, demand,
                                               counters)),
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
    const std::shared_ptr<completion_core> core = this->shared;
    active_completion active(*core, exchange);
    completion_state& request = active.state;
    request.received = now();
    request.completion =
        protocol::parse_completion_request(exchange.request().body(), form);
    const std::shared_ptr<const state::node_view> view = core->chooser.refresh();
    resolve_request(request, *view, exchange.request());
    active.limits = limits_of(request, *view, core->node_id);
    request.identity.id = core->ids.next();
    request.identity.form = form;
    core->chooser.estimate(request);
    // Counted before admission, because refused requests are demand too.
    core->demand.add_request(request.completion.model, request.completion.adapter,
                             request.expected_tokens);
    core->budget.on_request(request.attributes.get(attribute::retry_percent));
    core->hedge_budget.on_request(request.attributes.get(attribute::hedge_percent));

    const expected_times expected = core->chooser.expected(request, request.received);
    const gate_result entry =
        co_await core->gate.enter(request, active.limits, expected.total);
    if (entry.outcome == gate_outcome::refused)
    {
        core->refused.add();
        protocol::refusal refusal(
            error(entry.reason, request.model_key,
                  "not admitted; retry later or set a later deadline"));
        refusal.retry_after = entry.retry_after;
        active.is_answering = true;
        co_await active.output.fail(refusal);
        co_return;
    }
    active.is_admitted = entry.outcome == gate_outcome::admitted;
    if (active.is_admitted)
        co_await serve(*core, active);
    if (request.caller_gone)
        core->abandoned.add();
}

asio::awaitable<attempt_result> completion_proxy::join_hedge(active_completion& active,
                                                             attempt_result first)
{
    if (first == attempt_result::finished || first == attempt_result::caller_gone)
        active.hedge->cancel();
    while (!active.hedge_result)
    {
        boost::system::error_code ignored;
        active.hedge_ended.expires_at(state::time_point::max());
        co_await active.hedge_ended.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    const attempt_result second = *active.hedge_result;
    active.hedge.reset();
    active.state.tried.push_back(active.hedge_slot);
    if (first == attempt_result::finished || first == attempt_result::caller_gone)
        co_return first;
    co_return second;
}

asio::awaitable<void> completion_proxy::serve(completion_core& shared,
                                              active_completion& active)
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
            if (now() >= wait_limit)
                break;
            std::optional<waiting_caller> waiting;
            if (reason == error_code::model_not_resident)
                waiting.emplace(shared.demand, request.completion);
            if (!co_await shared.gate.wait_for_change(request, active.limits, wait_limit))
                break;
            if (request.caller_gone)
                co_return;
            clear_not_resident(request);
            continue;
        }
        ++count;
        // The first chunk is also delayed by the requests already queued at the engine.
        request.queue_wait = shared.chooser.expected(request, now()).wait;
        active.attempt.emplace(request, *choice.engine, shared.chooser, shared.client,
                               active.output, shared.attempts);
        active.attempt_slot = choice.engine->slot;
        request.sender = nullptr;
        attempt_result result = co_await active.attempt->run(shared.executor);
        if (active.hedge)
            result = co_await join_hedge(active, result);
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
        if (is_free_retry(result) || std::exchange(active.is_next_attempt_paid, false))
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
        error(reason, request.model_key, "no engine completed the request in time"));
    refusal.run = request.may_have_run ? run_state::unknown : run_state::not_run;
    refusal.retry_after = default_retry_after;
    active.is_answering = true;
    co_await active.output.fail(refusal);
}

} // namespace pomelorouter::app
