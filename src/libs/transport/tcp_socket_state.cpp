#include "transport/tcp_socket_state.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

namespace pomelorouter::transport
{

namespace
{

std::optional<tcp_info> read_tcp_info(int socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return std::nullopt;
    return info;
}

} // namespace

receive_end read_receive_end(int socket)
{
    const std::optional<tcp_info> info = read_tcp_info(socket);
    if (!info)
        return receive_end::unknown;
    if (info->tcpi_state == TCP_CLOSE_WAIT)
        return receive_end::closed_by_peer;
    return info->tcpi_state == TCP_CLOSE ? receive_end::connection_gone
                                         : receive_end::unknown;
}

} // namespace pomelorouter::transport
