#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace pomelorouter::transport
{

/// Parses `ip:port`; throws `state::error` naming the address.
boost::asio::ip::tcp::endpoint parse_address(const std::string& address);
/// Renders an endpoint as `ip:port`.
std::string format_address(const boost::asio::ip::tcp::endpoint& endpoint);
/// Binds an acceptor to `ip:port` and starts to listen; returns the bound address, in
/// which port 0 is replaced. Throws `state::error` naming the address.
std::string open_listener(boost::asio::ip::tcp::acceptor& acceptor,
                          const std::string& address);

} // namespace pomelorouter::transport
