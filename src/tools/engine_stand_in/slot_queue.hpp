#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace pomelorouter::tools
{

/// One request in an engine.
struct engine_request
{
    explicit engine_request(boost::asio::io_context& loop) : wake_timer(loop) {}

    std::string id;
    std::string model;
    std::string prompt;
    std::int64_t priority = 0;
    std::int64_t tokens = 0;
    bool running = false;
    bool cancelled = false;
    /// Cancelled to resume the request when it receives a slot or is cancelled.
    boost::asio::steady_timer wake_timer;
};

/// Slots of the batch and the bounded queue of requests that wait for one. The next free
/// slot goes to the highest priority, and to the earliest arrival within a priority.
class slot_queue
{
public:
    slot_queue(std::int64_t slot_count, std::size_t queue_limit);

    /// Starts the request if a slot is free, otherwise queues it. Returns false if the
    /// queue is full. The caller owns the request and must call `release` before
    /// destroying it.
    bool admit(engine_request& request);
    /// Removes the request from its slot or from the queue; a freed slot goes to the next
    /// request of the queue.
    void release(engine_request& request);

    std::int64_t running() const { return this->running_count; }
    std::int64_t queued() const
    {
        return static_cast<std::int64_t>(this->waiting.size());
    }
    std::int64_t slots() const { return this->slot_limit; }

private:
    void start(engine_request& request);

    std::int64_t slot_limit;
    std::size_t max_queue;
    std::int64_t running_count = 0;
    std::uint64_t arrivals = 0;
    /// Ordered by descending priority, then by arrival.
    std::map<std::pair<std::int64_t, std::uint64_t>, engine_request*> waiting;
};

} // namespace pomelorouter::tools
