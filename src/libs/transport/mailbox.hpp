#pragma once

#include "state/counters.hpp"
#include "transport/bounded_ring.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <utility>

namespace pomelorouter::transport
{

/// Bounded queue whose messages are handled on the thread of the consumer. Must be owned
/// by a shared_ptr, since a wake-up may still be pending when the owner releases it.
template <typename Message>
class mailbox : public std::enable_shared_from_this<mailbox<Message>>
{
public:
    using handler = std::function<void(Message)>;

    mailbox(boost::asio::any_io_executor target, std::size_t capacity, handler on_message,
            state::counter& refused)
        : executor(std::move(target)),
          ring(capacity),
          handle(std::move(on_message)),
          refused_messages(refused)
    {
    }

    /// Returns false and counts a refused message if the queue is full; the producer then
    /// rejects its request or waits. May be called on any thread.
    bool try_push(Message&& message)
    {
        if (!this->ring.try_push(std::move(message)))
        {
            this->refused_messages.add();
            return false;
        }
        if (!this->wake_pending.exchange(true))
        {
            boost::asio::post(this->executor,
                              [self = this->shared_from_this()] { self->drain(); });
        }
        return true;
    }

    /// Discards all messages from now on. Must be called on the consumer's thread.
    void close() { this->handle = nullptr; }

private:
    void drain()
    {
        // Cleared before the loop, so that a message pushed during the loop wakes the
        // consumer again.
        this->wake_pending.store(false);
        while (auto message = this->ring.try_pop())
        {
            if (this->handle)
                this->handle(std::move(*message));
        }
    }

    boost::asio::any_io_executor executor;
    bounded_ring<Message> ring;
    handler handle;
    state::counter& refused_messages;
    std::atomic<bool> wake_pending{false};
};

} // namespace pomelorouter::transport
