#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace pomelorouter::transport
{

/// Runs a coroutine that should run for the lifetime of the process. If it ends with an
/// exception, the exception is logged and `start` is called again after a delay. A
/// coroutine that returns is not restarted. `name` identifies it in the log.
void spawn_restarting(boost::asio::any_io_executor executor, std::string name,
                      std::function<boost::asio::awaitable<void>()> start);
/// Runs a coroutine once and logs an exception that ends it. `name` identifies it in the
/// log.
void spawn_task(boost::asio::any_io_executor executor, std::string name,
                boost::asio::awaitable<void> task);
/// Logs the exception that is being handled. Must be called in a `catch` block.
void log_current_exception(const std::string& name);

} // namespace pomelorouter::transport
