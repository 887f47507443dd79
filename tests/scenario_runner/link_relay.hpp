#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace pomelorouter::scenario
{

/// Directions in which bytes do not pass: pairs of process names (from, to). Belongs to
/// the event loop's thread.
using cut_directions = std::set<std::pair<std::string, std::string>>;

/// TCP relay in front of one process. A cut direction stops its bytes but keeps the
/// connections open, and goes on with the bytes held back when it is healed.
class link_relay
{
public:
    /// Names the process that owns the connection with these local and remote ports.
    using name_finder =
        std::function<std::string(unsigned short local, unsigned short remote)>;

    link_relay(boost::asio::io_context& loop, std::string target_name,
               const std::string& target_address, const cut_directions& cuts,
               name_finder find_name);

    /// Address of the relay, `ip:port`.
    const std::string& address() const { return this->listen_address; }
    /// Stops the bytes of all existing connections for good.
    void silence();

private:
    struct connection;

    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> serve(std::shared_ptr<connection> link);
    bool is_cut(connection& link, bool forward) const;
    boost::asio::awaitable<void> copy(std::shared_ptr<connection> link, bool forward);

    boost::asio::io_context& loop;
    std::string name;
    boost::asio::ip::tcp::endpoint target;
    const cut_directions& cuts;
    name_finder find_name;
    boost::asio::ip::tcp::acceptor acceptor;
    std::string listen_address;
    std::list<std::weak_ptr<connection>> connections;
};

} // namespace pomelorouter::scenario
