#pragma once

#include "state/clock.hpp"
#include "state/error.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pomelorouter::coordination
{

/// Limits that apply to one service on one node. A limit on requests in flight of 0 means
/// no limit.
struct admission_limits
{
    /// This node's share of the limits of the service and of the model.
    std::int64_t service_in_flight = 0;
    std::int64_t model_in_flight = 0;
    std::int64_t max_queue = 0;
    std::int64_t max_queue_bytes = 0;
};

/// Properties of a request that admission depends on.
struct admission_request
{
    std::string model;
    std::int64_t priority = 0;
    std::int64_t bytes = 0;
    state::time_point deadline{};
    /// Estimated time until the best engine starts the request.
    state::microseconds engine_wait{0};
};

enum class admission_verdict
{
    admitted,
    queued,
    refused,
};

using admission_ticket = std::uint64_t;

struct admission_result
{
    admission_verdict verdict = admission_verdict::refused;
    /// Identifies a queued request; 0 otherwise.
    admission_ticket ticket = 0;
    /// Set for a refused request only.
    state::error_code reason = state::error_code::overloaded;
    state::milliseconds retry_after{0};
};

/// Decides which requests of one service run now, wait on this node or are refused. A
/// request is refused as soon as its deadline cannot be met.
class admission
{
public:
    admission_result offer(const admission_request& request,
                           const admission_limits& limits, state::time_point now);
    /// Releases the capacity of an admitted request that ran for `service_time`.
    void release(const std::string& model, state::microseconds service_time);
    /// Admits the next queued request that the limits allow, by priority, highest first,
    /// then by arrival. Returns its ticket.
    std::optional<admission_ticket> admit_next();
    /// Removes and returns a queued request whose deadline can no longer be met.
    std::optional<admission_ticket> remove_late(state::time_point now);
    /// Removes a queued request, for example after its caller disconnected.
    void cancel(admission_ticket ticket);

    /// Counts a request that waits for its model to be loaded towards the queue limits.
    /// Returns false if the queue is full.
    bool begin_load_wait(std::int64_t bytes, const admission_limits& limits);
    void end_load_wait(std::int64_t bytes);

    std::int64_t in_flight() const { return this->running; }
    std::size_t queued() const { return this->queue.size(); }
    std::int64_t queued_bytes() const { return this->waiting_bytes; }
    /// Delay after which a refused caller may retry.
    state::milliseconds retry_after(state::microseconds expected_wait) const;

private:
    struct waiting_request
    {
        admission_request request;
        admission_limits limits;
    };
    /// Negated priority and ticket, so that the queue is ordered by priority and arrival.
    using queue_key = std::pair<std::int64_t, admission_ticket>;

    bool has_room(const std::string& model, const admission_limits& limits) const;
    bool has_queue_room(std::int64_t bytes, const admission_limits& limits) const;
    state::microseconds queue_wait(const admission_request& request,
                                   const admission_limits& limits) const;
    void erase(std::map<queue_key, waiting_request>::iterator entry);

    std::map<queue_key, waiting_request> queue;
    std::map<std::string, std::int64_t, std::less<>> running_by_model;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t waiting_bytes = 0;
    double mean_service_time_us = 0.0;
    admission_ticket next_ticket = 1;
};

} // namespace pomelorouter::coordination
