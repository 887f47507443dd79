#include "transport/address.hpp"

#include "state/error.hpp"

#include <charconv>

namespace pomelorouter::transport
{

boost::asio::ip::tcp::endpoint parse_address(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    boost::system::error_code failure;
    boost::asio::ip::address ip;
    std::uint16_t port = 0;
    bool valid = colon != std::string::npos && colon + 1 < address.size();
    if (valid)
    {
        ip = boost::asio::ip::make_address(address.substr(0, colon), failure);
        const char* const end = address.data() + address.size();
        const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
        valid = !failure && parsed.ec == std::errc() && parsed.ptr == end;
    }
    if (!valid)
        throw state::error(state::error_code::invalid_argument, address,
                           "not a valid address; expected ip:port");
    return {ip, port};
}

std::string format_address(const boost::asio::ip::tcp::endpoint& endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

std::string open_listener(boost::asio::ip::tcp::acceptor& acceptor,
                          const std::string& address)
{
    using boost::asio::socket_base;
    const auto endpoint = parse_address(address);
    boost::system::error_code failure;
    acceptor.open(endpoint.protocol(), failure);
    if (!failure)
        acceptor.set_option(socket_base::reuse_address(true), failure);
    if (!failure)
        acceptor.bind(endpoint, failure);
    if (!failure)
        acceptor.listen(socket_base::max_listen_connections, failure);
    if (failure)
        throw state::error(state::error_code::io_error, address, failure.message());
    return format_address(acceptor.local_endpoint());
}

} // namespace pomelorouter::transport
