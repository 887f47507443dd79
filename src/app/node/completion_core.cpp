#include "app/node/completion_core.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <chrono>
#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using state::attribute;

namespace
{

// Detecting disconnected callers costs one system call for each request in flight, so it
// is not done at every tick.
constexpr int ticks_per_caller_check = 5;

/// Discards the tokens of a probe.
class discarded_output : public token_sink
{
public:
    void add(const std::string&) override {}
    asio::awaitable<void> flush() override { co_return; }
};

} // namespace

completion_core::completion_core(std::string node, const view_cell& views,
                                 transport::http_client& http,
                                 asio::any_io_executor loop_executor,
                                 demand_tracker& model_demand,
                                 state::counter_registry& counters)
    : node_id(std::move(node)),
      client(http),
      executor(std::move(loop_executor)),
      demand(model_demand),
      chooser(views, counters),
      gate(executor),
      attempts("completion", counters),
      probe_attempts("probe", counters),
      completions(counters.count("completions_total", "completions fully delivered")),
      refused(
          counters.count("completions_refused_total", "completions refused or given up")),
      retries(counters.count("completion_retries_total",
                             "further attempts paid by the retry budget")),
      moves(counters.count("completion_moves_total",
                           "calls that hung and were moved to another engine")),
      hedges(counters.count("completion_hedges_total",
                            "requests sent to a second engine for the first token")),
      abandoned(counters.count("completions_abandoned_total",
                               "completions whose caller went away"))
{
}

active_completion::active_completion(completion_core& owner,
                                     transport::http_exchange& caller)
    : shared(owner), exchange(caller), output(caller, state), hedge_ended(owner.executor)
{
    this->shared.active.insert(this);
}

active_completion::~active_completion()
{
    if (this->shared.is_closed)
        return;
    this->shared.active.erase(this);
    if (this->is_admitted)
        this->shared.gate.leave(this->state, std::chrono::steady_clock::now());
}

bool active_completion::cancel()
{
    const bool first = this->attempt && this->attempt->cancel();
    const bool second = this->hedge && this->hedge->cancel();
    return first || second;
}

void completion_core::tick(state::time_point time)
{
    if (this->chooser.tick(time))
        this->gate.on_change();
    this->gate.tick(time);
    const bool check_caller = --this->ticks_until_caller_check <= 0;
    if (check_caller)
        this->ticks_until_caller_check = ticks_per_caller_check;
    for (active_completion* request : this->active)
        this->check(*request, time, check_caller);
    this->send_probes(time);
}

void completion_core::send_probes(state::time_point time)
{
    for (;;)
    {
        completion_state prepared;
        const auto engine = this->chooser.begin_probe(prepared, time);
        if (!engine)
            return;
        auto request = std::make_shared<completion_state>(std::move(prepared));
        request->identity.id = this->ids.next();
        asio::co_spawn(this->executor,
                       probe(this->shared_from_this(), std::move(request), *engine),
                       asio::detached);
    }
}

asio::awaitable<void> completion_core::probe(std::shared_ptr<completion_core> shared,
                                             std::shared_ptr<completion_state> request,
                                             chosen_engine engine)
{
    // The node sends a request of its own, so that no caller has to wait for a slow
    // engine.
    discarded_output output;
    engine_attempt attempt(*request, engine, shared->chooser, shared->client, output,
                           shared->probe_attempts);
    co_await attempt.run(shared->executor);
}

void completion_core::check(active_completion& request, state::time_point time,
                            bool check_caller)
{
    completion_state& state = request.state;
    if (request.is_answering)
        return;
    if (check_caller && !state.caller_gone && request.exchange.client_has_closed())
    {
        state.caller_gone = true;
        this->gate.abandon(state);
    }
    if (state.caller_gone)
        request.cancel(); // repeated: an attempt may have started after the first call
    if (!request.attempt || state.caller_gone)
        return;
    // A response that is being streamed may continue past the deadline while tokens
    // arrive.
    if (time >= state.deadline && !request.exchange.has_responded())
    {
        request.is_late = request.cancel() || request.is_late;
        return;
    }
    if (request.hedge)
    {
        if (request.hedge->has_lost())
            request.hedge->cancel();
        if (request.attempt->has_lost())
            request.attempt->cancel();
        return;
    }
    this->move_if_stalled(request, time);
    this->hedge_if_late(request, time);
}

void completion_core::move_if_stalled(active_completion& request, state::time_point time)
{
    // Only expected_wait moves calls; the other policies are baselines that ignore slow
    // engines.
    const bool may_move =
        request.state.attributes.policy() == state::routing_policy_kind::expected_wait &&
        !request.is_next_attempt_paid && request.attempt->should_move(time);
    if (!may_move || !this->chooser.has_alternative(request.state, time) ||
        !this->budget.try_take())
        return;
    if (!request.attempt->cancel())
    {
        this->budget.give_back();
        return;
    }
    request.is_next_attempt_paid = true;
    this->moves.add();
}

void completion_core::hedge_if_late(active_completion& request, state::time_point time)
{
    completion_state& state = request.state;
    const bool may_hedge = state.attributes.get(attribute::hedge_percent) > 0 &&
                           state.delivered == 0 && request.attempt->is_late(time);
    if (!may_hedge || !this->hedge_budget.try_take())
        return;
    if (!this->budget.try_take())
    {
        this->hedge_budget.give_back();
        return;
    }
    state.tried.push_back(request.attempt_slot);
    const engine_choice choice = this->chooser.choose(state, time);
    if (!choice.engine)
    {
        this->hedge_budget.give_back();
        this->budget.give_back();
        return;
    }
    this->hedges.add();
    request.hedge_slot = choice.engine->slot;
    request.hedge_result.reset();
    request.hedge.emplace(state, *choice.engine, this->chooser, this->client,
                          request.output, this->attempts);
    asio::co_spawn(this->executor, run_hedge(this->shared_from_this(), request),
                   asio::detached);
}

asio::awaitable<void> completion_core::run_hedge(std::shared_ptr<completion_core> shared,
                                                 active_completion& request)
{
    // The request waits in join_hedge until its hedge has ended, so the reference stays
    // valid.
    request.hedge_result = co_await request.hedge->run(shared->executor);
    request.hedge_ended.cancel();
}

} // namespace pomelorouter::app
