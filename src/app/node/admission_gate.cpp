#include "app/node/admission_gate.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using coordination::admission_ticket;
using coordination::admission_verdict;

namespace
{

coordination::admission_request make_request(const completion_state& request,
                                             state::microseconds engine_wait)
{
    coordination::admission_request result;
    result.model = request.model_key;
    result.priority = request.attributes.get(state::attribute::priority);
    result.bytes = static_cast<std::int64_t>(request.completion.prompt.size());
    result.deadline = request.deadline;
    result.engine_wait = engine_wait;
    return result;
}

gate_result refusal_of(const coordination::admission_result& verdict)
{
    gate_result result;
    result.outcome = gate_outcome::refused;
    result.reason = verdict.reason;
    result.retry_after = verdict.retry_after;
    return result;
}

gate_result deadline_refusal(state::milliseconds retry_after)
{
    gate_result result;
    result.outcome = gate_outcome::refused;
    result.reason = state::error_code::deadline_unreachable;
    result.retry_after = retry_after;
    return result;
}

gate_result result_of(gate_outcome outcome)
{
    gate_result result;
    result.outcome = outcome;
    return result;
}

} // namespace

admission_gate::admission_gate(asio::any_io_executor loop_executor)
    : executor(std::move(loop_executor))
{
}

asio::awaitable<void> admission_gate::sleep(waiter& item, state::time_point until)
{
    boost::system::error_code ignored;
    item.timer.expires_at(until);
    co_await item.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<gate_result> admission_gate::enter(completion_state& request,
                                                   coordination::admission_limits limits,
                                                   state::microseconds engine_wait)
{
    const state::time_point now = std::chrono::steady_clock::now();
    const coordination::admission_request wanted = make_request(request, engine_wait);
    coordination::admission& gate = this->gates[request.service];
    const coordination::admission_result verdict = gate.offer(wanted, limits, now);
    if (verdict.verdict == admission_verdict::refused)
        co_return refusal_of(verdict);
    if (verdict.verdict == admission_verdict::admitted)
        co_return result_of(gate_outcome::admitted);
    waiter item(this->executor);
    item.request = &request;
    const std::pair<std::string, admission_ticket> key(request.service, verdict.ticket);
    this->queued.emplace(key, &item);
    co_await this->sleep(item, request.deadline);
    this->queued.erase(key);
    if (item.outcome == gate_outcome::admitted)
        co_return result_of(gate_outcome::admitted);
    gate.cancel(verdict.ticket);
    if (request.caller_gone)
        co_return result_of(gate_outcome::caller_gone);
    co_return deadline_refusal(gate.retry_after(engine_wait));
}

void admission_gate::leave(const completion_state& request, state::time_point now)
{
    coordination::admission& gate = this->gates[request.service];
    gate.release(request.model_key,
                 std::chrono::duration_cast<state::microseconds>(now - request.received));
    while (const auto ticket = gate.admit_next())
        this->wake(request.service, *ticket, gate_outcome::admitted);
    this->on_change();
}

asio::awaitable<bool>
admission_gate::wait_for_change(completion_state& request,
                                coordination::admission_limits limits,
                                state::time_point until)
{
    const auto bytes = static_cast<std::int64_t>(request.completion.prompt.size());
    coordination::admission& gate = this->gates[request.service];
    if (!gate.begin_load_wait(bytes, limits))
        co_return false;
    waiter item(this->executor);
    item.request = &request;
    this->waiting.insert(&item);
    co_await this->sleep(item, until);
    this->waiting.erase(&item);
    gate.end_load_wait(bytes);
    co_return true;
}

void admission_gate::on_change()
{
    for (waiter* item : this->waiting)
        item->timer.cancel();
}

void admission_gate::abandon(const completion_state& request)
{
    for (const auto& [key, item] : this->queued)
    {
        if (item->request == &request)
            item->timer.cancel();
    }
    for (waiter* item : this->waiting)
    {
        if (item->request == &request)
            item->timer.cancel();
    }
}

void admission_gate::tick(state::time_point now)
{
    for (auto& [service, gate] : this->gates)
    {
        while (const auto ticket = gate.remove_late(now))
            this->wake(service, *ticket, gate_outcome::refused);
        // When this node's share of the limit grows, several requests may be admitted at
        // once.
        while (const auto ticket = gate.admit_next())
            this->wake(service, *ticket, gate_outcome::admitted);
    }
}

void admission_gate::wake(const std::string& service, admission_ticket ticket,
                          gate_outcome outcome)
{
    const auto found = this->queued.find(std::make_pair(service, ticket));
    if (found == this->queued.end())
        return;
    found->second->outcome = outcome;
    found->second->timer.cancel();
}

} // namespace pomelorouter::app
