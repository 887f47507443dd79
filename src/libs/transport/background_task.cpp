#include "transport/background_task.hpp"

#include "state/clock.hpp"
#include "state/log.hpp"
#include "transport/pause.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <exception>
#include <utility>

namespace pomelorouter::transport
{

namespace asio = boost::asio;

namespace
{

/// Keeps a task that fails immediately after each start from using a whole CPU core.
constexpr state::milliseconds restart_delay{200};

asio::awaitable<void> run_with_restarts(asio::any_io_executor executor, std::string name,
                                        std::function<asio::awaitable<void>()> start)
{
    for (;;)
    {
        try
        {
            co_await start();
            co_return;
        }
        catch (...)
        {
            log_current_exception(name);
        }
        co_await pause(executor, restart_delay);
    }
}

} // namespace

void spawn_restarting(asio::any_io_executor executor, std::string name,
                      std::function<asio::awaitable<void>()> start)
{
    asio::co_spawn(executor,
                   run_with_restarts(executor, std::move(name), std::move(start)),
                   asio::detached);
}

void spawn_task(asio::any_io_executor executor, std::string name,
                asio::awaitable<void> task)
{
    asio::co_spawn(executor, std::move(task),
                   [name = std::move(name)](const std::exception_ptr& failure)
                   {
                       if (!failure)
                           return;
                       try
                       {
                           std::rethrow_exception(failure);
                       }
                       catch (...)
                       {
                           log_current_exception(name);
                       }
                   });
}

void log_current_exception(const std::string& name)
{
    std::string problem = "exception of an unknown type";
    try
    {
        throw;
    }
    catch (const std::exception& failure)
    {
        problem = failure.what();
    }
    catch (...) // NOLINT(bugprone-empty-catch): `problem` has its text already
    {
    }
    state::log_event(state::log_level::error, "unexpected_error")
        .field("duty", name)
        .field("problem", problem);
}

} // namespace pomelorouter::transport
