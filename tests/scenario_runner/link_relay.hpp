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

/// Blocked directions as pairs of process names (from, to). Must be used on the event
/// loop's thread only.
using cut_directions = std::set<std::pair<std::string, std::string>>;

/// TCP relay in front of one process. It holds back the bytes of a cut direction, keeps
/// the connections open, and forwards the held bytes when the direction is healed.
class link_relay
{
public:
    /// Returns the name of the process that owns the connection with these ports.
    using process_name_lookup =
        std::function<std::string(unsigned short local, unsigned short remote)>;

    link_relay(boost::asio::io_context& loop, std::string target_name,
               const std::string& target_address, const cut_directions& cuts,
               process_name_lookup find_process_name);

    /// Address of the relay, `ip:port`.
    const std::string& address() const { return this->listen_address; }
    /// Permanently stops forwarding on all existing connections.
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
    process_name_lookup find_process_name;
    boost::asio::ip::tcp::acceptor acceptor;
    std::string listen_address;
    std::list<std::weak_ptr<connection>> connections;
};

} // namespace pomelorouter::scenario
