#pragma once

#include "state/clock.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>

namespace pomelorouter::transport
{

/// Wakes the coroutines of one event loop that wait for a change.
class loop_signal
{
public:
    explicit loop_signal(boost::asio::any_io_executor loop_executor);

    /// Returns after the next `notify()`, or after `limit`.
    boost::asio::awaitable<void> wait(state::milliseconds limit);
    void notify();

private:
    boost::asio::any_io_executor executor;
    std::set<boost::asio::steady_timer*> waiting;
};

} // namespace pomelorouter::transport
