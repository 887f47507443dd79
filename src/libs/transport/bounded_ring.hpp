#pragma once

#include <boost/circular_buffer.hpp>

#include <mutex>
#include <optional>
#include <utility>

namespace pomelorouter::transport
{

/// Bounded queue between threads. A full ring refuses the message: the producer applies
/// backpressure, nothing is overwritten.
template <typename Message>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity) : messages(capacity) {}

    /// Returns false, and leaves `message` as it is, if the ring is full.
    bool try_push(Message&& message)
    {
        const std::lock_guard lock(this->mutex);
        if (this->messages.full())
            return false;
        this->messages.push_back(std::move(message));
        return true;
    }

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
