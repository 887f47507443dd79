#include "transport/tcp_socket_state.hpp"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
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

std::optional<tcp_send_state> read_send_state(int socket)
{
    const std::optional<tcp_info> info = read_tcp_info(socket);
    if (!info)
        return std::nullopt;
    tcp_send_state result;
    result.has_segments_in_flight = info->tcpi_unacked > 0;
    result.is_probing = info->tcpi_unacked == 0 && info->tcpi_backoff > 0;
    result.has_unanswered_retry = info->tcpi_probes > 0 || info->tcpi_retransmits > 0;
    result.since_ack = state::milliseconds(info->tcpi_last_ack_recv);
    // Both at once are 0 only right after a segment has been sent, or always.
    const bool has_no_ages =
        info->tcpi_last_ack_recv == 0 && info->tcpi_last_data_sent == 0;
    int queued_bytes = 0;
    if (result.has_segments_in_flight && has_no_ages &&
        ::ioctl(socket, SIOCOUTQ, &queued_bytes) == 0)
        result.queued_bytes = queued_bytes;
    return result;
}

void set_user_timeout(int socket, state::milliseconds timeout)
{
    const auto value = static_cast<unsigned>(timeout.count());
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof value);
}

} // namespace pomelorouter::transport
