#include "app/gateway/process/gateway_process.hpp"

#include "app/gateway/process/gateway.hpp"
#include "state/counters.hpp"
#include "state/log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <malloc.h>
#include <unistd.h>

namespace pomelorouter::app
{

namespace asio = boost::asio;

namespace
{

void stop(gateway& process)
{
    process.stop(
        []
        {
            {
                const state::log_event line(state::log_level::info, "gateway_stopped");
            }
            // Open connections end with the process, and nothing else has to be released.
            ::_exit(EXIT_SUCCESS);
        });
}

void wait_for_signal(asio::signal_set& signals, gateway& process)
{
    signals.async_wait(
        [&signals, &process](boost::system::error_code failure, int signal)
        {
            if (failure)
                return;
            wait_for_signal(signals, process);
            if (signal == SIGHUP)
                process.reload();
            else
                stop(process);
        });
}

} // namespace

void run_gateway(const state::gateway_settings& settings,
                 const std::string& settings_path, const platform_adapter& adapter)
{
    // Large blocks are returned to the kernel when they are freed. By default, the first
    // such block raises the threshold, and later ones leave holes in the heap.
    constexpr int large_block_bytes = 256 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, large_block_bytes);
    // Declared before the loop, since connections destroyed by the loop still update
    // counters.
    state::counter_registry counters;
    asio::io_context loop{1};
    gateway process(loop, settings, settings_path, adapter, counters);
    process.start();
    // The file may have changed since the settings were read from it.
    process.reload();
    asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
    wait_for_signal(signals, process);
    loop.run();
}

} // namespace pomelorouter::app
