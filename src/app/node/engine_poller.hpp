#pragma once

#include "app/node/control_loop.hpp"
#include "state/counters.hpp"
#include "state/fleet.hpp"
#include "transport/http_client.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pomelorouter::app
{

/// Polls the inventory and load report of each engine, on the fleet thread.
class engine_poller
{
public:
    engine_poller(boost::asio::io_context& loop, control_mailbox& control,
                  state::counter_registry& counters);
    ~engine_poller();
    engine_poller(const engine_poller&) = delete;
    engine_poller& operator=(const engine_poller&) = delete;

    /// Sets the engines to poll and the interval. May be called from any thread.
    void set_engines(std::vector<state::instance> engines, state::milliseconds period);

private:
    boost::asio::awaitable<void> poll_engine(std::string id);
    boost::asio::awaitable<void> poll_once(const std::string& id,
                                           const std::string& address);

    boost::asio::io_context& loop;
    control_mailbox& control;
    transport::http_client client;
    /// Addresses of the engines to poll, by id.
    std::map<std::string, std::string> addresses;
    state::milliseconds period{500};
    state::counter& failures;
};

} // namespace pomelorouter::app
