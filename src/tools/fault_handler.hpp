#pragma once

#include "tools/stand_in_handler.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <string>

namespace pomelorouter::tools
{

/// Wraps the handler of a stand-in, applies faults to its requests and responses, and
/// serves `POST /control/faults` and `GET /control/stats`. Faults never affect the paths
/// below `/control/`.
class fault_handler : public transport::http_handler
{
public:
    fault_handler(boost::asio::io_context& loop, stand_in_handler& inner);

    boost::asio::awaitable<void> handle(transport::http_exchange& exchange) override;

    /// Called with the duration of the outage when a fault closes the port.
    std::function<void(state::milliseconds)> close_port;

private:
    class faulty_exchange;

    boost::asio::awaitable<void> control(transport::http_exchange& exchange,
                                         std::string path);
    /// Waits while the stand-in is frozen; on a silent connection, until the client
    /// closes it.
    boost::asio::awaitable<void> wait_while_held(transport::http_exchange& exchange);
    boost::asio::awaitable<void> pause(state::milliseconds duration);
    void change_faults(const std::string& body);
    void end_outage_after(state::milliseconds duration);
    std::string stats() const;

    boost::asio::io_context& loop;
    stand_in_handler& inner;
    std::uint64_t newest_connection = 0;
    std::uint64_t fault_changes = 0;
    std::map<std::string, std::int64_t> requests;
};

} // namespace pomelorouter::tools
