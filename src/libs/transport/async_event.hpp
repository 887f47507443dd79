#pragma once

#include "state/clock.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>

namespace pomelorouter::transport
{

/// Notification for coroutines of one event loop that wait for a change. All calls must
/// be made on the thread of that loop.
class async_event
{
public:
    explicit async_event(boost::asio::any_io_executor loop_executor);

    /// Returns after the next `notify()`, or after `timeout`.
    boost::asio::awaitable<void> wait(state::milliseconds timeout);
    /// Wakes all coroutines that are waiting.
    void notify();

private:
    boost::asio::any_io_executor executor;
    std::set<boost::asio::steady_timer*> waiting;
};

} // namespace pomelorouter::transport
