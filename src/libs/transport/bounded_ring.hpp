#pragma once

#include <boost/circular_buffer.hpp>

#include <mutex>
#include <optional>
#include <utility>

namespace pomelorouter::transport
{

/// Bounded thread-safe queue. A full queue rejects a new message instead of overwriting
/// an old one, so that the producer can apply backpressure.
template <typename Message>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity) : messages(capacity) {}

    /// Returns false and leaves `message` unchanged if the queue is full.
    bool try_push(Message&& message)
    {
        const std::lock_guard lock(this->mutex);
        if (this->messages.full())
            return false;
        this->messages.push_back(std::move(message));
        return true;
    }

    /// Removes the oldest message; returns nothing if the queue is empty.
    std::optional<Message> try_pop()
    {
        const std::lock_guard lock(this->mutex);
        if (this->messages.empty())
            return std::nullopt;
        std::optional<Message> message(std::move(this->messages.front()));
        this->messages.pop_front();
        return message;
    }

    std::size_t size() const
    {
        const std::lock_guard lock(this->mutex);
        return this->messages.size();
    }

private:
    mutable std::mutex mutex;
    boost::circular_buffer<Message> messages;
};

} // namespace pomelorouter::transport
