#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace pomelorouter::transport
{

/// Parses `ip:port`. Throws `state::error` that names the address.
boost::asio::ip::tcp::endpoint parse_address(const std::string& address);
/// Formats an endpoint as `ip:port`.
std::string format_address(const boost::asio::ip::tcp::endpoint& endpoint);
/// Binds an acceptor to `ip:port` and starts to listen. Returns the bound address with
/// the port that the kernel assigned if `address` has port 0. Throws `state::error` that
/// names the address.
std::string open_listener(boost::asio::ip::tcp::acceptor& acceptor,
                          const std::string& address);

} // namespace pomelorouter::transport
