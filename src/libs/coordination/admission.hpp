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

/// Limits of one service in one node.
struct admission_limits
{
    /// This node's part of the service's and of the model's limit; 0 means no limit.
    std::int64_t service_in_flight = 0;
    std::int64_t model_in_flight = 0;
    std::int64_t max_queue = 0;
    std::int64_t max_queue_bytes = 0;
};

/// What admission needs to know of a request.
struct admission_request
{
    std::string model;
    std::int64_t priority = 0;
    std::int64_t bytes = 0;
    state::time_point deadline{};
    /// Time until the best engine would start on it.
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
    /// Of a queued request.
    admission_ticket ticket = 0;
    /// Of a refused request.
    state::error_code reason = state::error_code::overloaded;
    state::milliseconds retry_after{0};
};

/// Decides which requests of one service run now, wait in this node or are refused. A
/// refusal is decided as soon as it is known that the deadline cannot be met.
class admission
{
public:
    admission_result offer(const admission_request& request,
                           const admission_limits& limits, state::time_point now);
    /// A request that was admitted has ended.
    void release(const std::string& model, state::microseconds held);
    /// Admits the next queued request that the limits allow: the highest priority first,
    /// among equals the one that came first.
    std::optional<admission_ticket> admit_next();
    /// Removes and returns a queued request whose deadline can no longer be met.
    std::optional<admission_ticket> take_late(state::time_point now);
    /// Removes a queued request, for example because its caller went away.
    void cancel(admission_ticket ticket);

    /// Counts a request that waits for a copy of its model to the bounds of the queue.
    /// Returns whether there was room.
    bool begin_wait(std::int64_t bytes, const admission_limits& limits);
    void end_wait(std::int64_t bytes);

    std::int64_t in_flight() const { return this->running; }
    std::size_t queued() const { return this->queue.size(); }
    std::int64_t queued_bytes() const { return this->waiting_bytes; }
    /// When to come back after a refusal.
    state::milliseconds retry_after(state::microseconds expected_wait) const;

private:
    struct waiting_request
    {
        admission_request request;
        admission_limits limits;
    };
    /// Negated priority, then order of arrival.
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
    double mean_held_us = 0.0;
    admission_ticket next_ticket = 1;
};

} // namespace pomelorouter::coordination
