#pragma once

#include "state/clock.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace pomelorouter::transport
{

/// Suspends the calling coroutine for `duration` without blocking the event loop of
/// `executor`.
boost::asio::awaitable<void> pause(boost::asio::any_io_executor executor,
                                   state::milliseconds duration);

} // namespace pomelorouter::transport
