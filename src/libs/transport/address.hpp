#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace pomelorouter::transport
{

/// Parses `ip:port`; throws `state::error` naming the address.
boost::asio::ip::tcp::endpoint parse_address(const std::string& address);
/// Renders an endpoint as `ip:port`.
std::string format_address(const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace pomelorouter::transport
