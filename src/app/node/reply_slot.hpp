#pragma once

#include "state/clock.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace pomelorouter::app
{

/// Passes one reply from another thread to a coroutine that waits for it.
template <typename Reply>
class reply_slot : public std::enable_shared_from_this<reply_slot<Reply>>
{
public:
    explicit reply_slot(boost::asio::any_io_executor waiter)
        : executor(std::move(waiter)), timer(this->executor)
    {
    }

    /// Delivers the reply. Call at most once; any thread may call it.
    void deliver(Reply reply)
    {
        boost::asio::post(
            this->executor,
            [self = this->shared_from_this(), reply = std::move(reply)]() mutable
            {
                self->value = std::move(reply);
                self->timer.cancel();
            });
    }

    /// Waits on the executor; returns nothing if there is no reply within `timeout`.
    boost::asio::awaitable<std::optional<Reply>> wait(state::milliseconds timeout)
    {
        const auto self = this->shared_from_this();
        if (!this->value)
        {
            this->timer.expires_after(timeout);
            boost::system::error_code ignored;
            co_await this->timer.async_wait(
                boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        co_return std::move(this->value);
    }

private:
    boost::asio::any_io_executor executor;
    boost::asio::steady_timer timer;
    std::optional<Reply> value;
};

} // namespace pomelorouter::app
