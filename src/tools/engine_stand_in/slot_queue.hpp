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
    explicit engine_request(boost::asio::io_context& loop) : wake(loop) {}

    std::string id;
    std::string model;
    std::string prompt;
    std::int64_t priority = 0;
    std::int64_t tokens = 0;
    bool running = false;
    bool cancelled = false;
    /// Cancelled to wake the request up: it got a slot or was cancelled.
    boost::asio::steady_timer wake;
};

/// Slots of the batch and the bounded queue in front of them. The highest priority gets
/// the next free slot, in the order of arrival within a priority.
class slot_queue
{
public:
    slot_queue(std::int64_t slot_count, std::size_t queue_limit);

    /// Returns false if the queue is full.
    bool enter(engine_request& request);
    /// Frees the slot or the place in the queue.
    void leave(engine_request& request);

    std::int64_t running() const { return this->in_slots; }
    std::int64_t queued() const
    {
        return static_cast<std::int64_t>(this->waiting.size());
    }
    std::int64_t slots() const { return this->slot_limit; }

private:
    void start(engine_request& request);

    std::int64_t slot_limit;
    std::size_t max_queue;
    std::int64_t in_slots = 0;
    std::uint64_t arrivals = 0;
    /// By falling priority, then by arrival.
    std::map<std::pair<std::int64_t, std::uint64_t>, engine_request*> waiting;
};

} // namespace pomelorouter::tools
