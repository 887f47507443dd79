#include "coordination/admission.hpp"

#include <algorithm>

namespace pomelorouter::coordination
{

using state::error_code;
using state::microseconds;
using state::milliseconds;

namespace
{

constexpr double sample_weight = 0.1;
constexpr milliseconds min_retry_after{50};
constexpr milliseconds max_retry_after{10000};

admission_result refused(error_code reason, milliseconds retry_after)
{
    admission_result result;
    result.reason = reason;
    result.retry_after = retry_after;
    return result;
}

} // namespace

milliseconds admission::retry_after(microseconds expected_wait) const
{
    return std::clamp(std::chrono::duration_cast<milliseconds>(expected_wait),
                      min_retry_after, max_retry_after);
}

bool admission::has_room(const std::string& model, const admission_limits& limits) const
{
    if (limits.service_in_flight > 0 && this->running >= limits.service_in_flight)
        return false;
    if (limits.model_in_flight <= 0)
        return true;
    const auto found = this->running_by_model.find(model);
    return found == this->running_by_model.end() ||
           found->second < limits.model_in_flight;
}

bool admission::has_queue_room(std::int64_t bytes, const admission_limits& limits) const
{
    return this->waiting < limits.max_queue &&
           this->waiting_bytes + bytes <= limits.max_queue_bytes;
}

microseconds admission::queue_wait(const admission_request& request,
                                   const admission_limits& limits) const
{
    std::int64_t requests_ahead = 1;
    for (const auto& [key, entry] : this->queue)
    {
        if (-key.first < request.priority)
            break;
        ++requests_ahead;
    }
    const std::int64_t concurrency =
        std::max<std::int64_t>(1, limits.service_in_flight > 0 ? limits.service_in_flight
                                                               : limits.model_in_flight);
    return microseconds(static_cast<std::int64_t>(this->mean_service_time_us *
                                                  static_cast<double>(requests_ahead) /
                                                  static_cast<double>(concurrency)));
}

admission_result admission::offer(const admission_request& request,
                                  const admission_limits& limits, state::time_point now)
{
    const bool runs_now = this->has_room(request.model, limits);
    const microseconds wait =
        runs_now ? request.engine_wait
                 : std::max(request.engine_wait, this->queue_wait(request, limits));
    if (now + wait >= request.deadline)
        return refused(error_code::deadline_unreachable, this->retry_after(wait));
    admission_result result;
    if (runs_now)
    {
        result.verdict = admission_verdict::admitted;
        ++this->running;
        ++this->running_by_model[request.model];
        return result;
    }
    if (!this->has_queue_room(request.bytes, limits))
        return refused(error_code::overloaded, this->retry_after(wait));
    result.verdict = admission_verdict::queued;
    result.ticket = this->next_ticket++;
    waiting_request entry;
    entry.request = request;
    entry.limits = limits;
    this->queue.emplace(queue_key{-request.priority, result.ticket}, std::move(entry));
    ++this->waiting;
    this->waiting_bytes += request.bytes;
    return result;
}

void admission::release(const std::string& model, microseconds service_time)
{
    const auto service_time_us = static_cast<double>(service_time.count());
    this->mean_service_time_us +=
        (this->mean_service_time_us <= 0.0 ? 1.0 : sample_weight) *
        (service_time_us - this->mean_service_time_us);
    --this->running;
    const auto found = this->running_by_model.find(model);
    if (--found->second == 0)
        this->running_by_model.erase(found);
}

std::optional<admission_ticket> admission::admit_next()
{
    for (auto entry = this->queue.begin(); entry != this->queue.end(); ++entry)
    {
        const waiting_request& item = entry->second;
        if (!this->has_room(item.request.model, item.limits))
            continue;
        const admission_ticket ticket = entry->first.second;
        ++this->running;
        ++this->running_by_model[item.request.model];
        this->erase(entry);
        return ticket;
    }
    return std::nullopt;
}

std::optional<admission_ticket> admission::remove_late(state::time_point now)
{
    // Fewer requests are ahead than at arrival, but each may take longer than was
    // estimated then.
    std::int64_t requests_ahead = 0;
    for (auto entry = this->queue.begin(); entry != this->queue.end(); ++entry)
    {
        ++requests_ahead;
        const waiting_request& item = entry->second;
        const std::int64_t concurrency = std::max<std::int64_t>(
            1, item.limits.service_in_flight > 0 ? item.limits.service_in_flight
                                                 : item.limits.model_in_flight);
        const microseconds wait(static_cast<std::int64_t>(
            this->mean_service_time_us * static_cast<double>(requests_ahead) /
            static_cast<double>(concurrency)));
        if (now + wait < item.request.deadline)
            continue;
        const admission_ticket ticket = entry->first.second;
        this->erase(entry);
        return ticket;
    }
    return std::nullopt;
}

void admission::cancel(admission_ticket ticket)
{
    const auto entry =
        std::find_if(this->queue.begin(), this->queue.end(),
                     [ticket](const auto& item) { return item.first.second == ticket; });
    if (entry != this->queue.end())
        this->erase(entry);
}

void admission::erase(std::map<queue_key, waiting_request>::iterator entry)
{
    --this->waiting;
    this->waiting_bytes -= entry->second.request.bytes;
    this->queue.erase(entry);
}

bool admission::begin_load_wait(std::int64_t bytes, const admission_limits& limits)
{
    if (!this->has_queue_room(bytes, limits))
        return false;
    ++this->waiting;
    this->waiting_bytes += bytes;
    return true;
}

void admission::end_load_wait(std::int64_t bytes)
{
    --this->waiting;
    this->waiting_bytes -= bytes;
}

} // namespace pomelorouter::coordination
