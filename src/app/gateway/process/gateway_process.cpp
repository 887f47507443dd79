#include "app/gateway/process/gateway_process.hpp"

#include "app/gateway/process/gateway.hpp"
#include "state/counters.hpp"
#include "state/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <cstdlib>
#include <unistd.h>

namespace pomelorouter::app
{

namespace asio = boost::asio;

namespace
{

asio::awaitable<void> wait_for_signals(gateway& process)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    asio::signal_set signals(executor, SIGTERM, SIGINT, SIGHUP);
    for (;;)
    {
        const int signal = co_await signals.async_wait(asio::use_awaitable);
        if (signal == SIGHUP)
        {
            process.reload();
            continue;
        }
        process.stop(
            []
            {
                state::log_event(state::log_level::info, "gateway_stopped");
                // Connections that are still open end with the process; nothing else of
                // its memory needs care.
                ::_exit(EXIT_SUCCESS);
            });
    }
}

} // namespace

void run_gateway(const state::gateway_settings& settings,
                 const std::string& settings_path, const platform_adapter& adapter)
{
    // Before the loop: connections that the loop destroys still count.
    state::counter_registry counters;
    asio::io_context loop{1};
    gateway process(loop, settings, settings_path, adapter, counters);
    process.start();
    asio::co_spawn(loop, wait_for_signals(process), asio::detached);
    loop.run();
}

} // namespace pomelorouter::app
