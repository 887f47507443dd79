#pragma once

#include "state/clock.hpp"
#include "transport/ack_monitor.hpp"

#include <optional>

namespace pomelorouter::transport
{

/// How the receiving half of a TCP connection ended.
enum class receive_end
{
    /// The kernel does not tell.
    unknown,
    /// The peer has sent its last byte and closed its half.
    closed_by_peer,
    /// The connection no longer exists, for example after a reset or a timeout.
    connection_gone,
};

/// Returns the end of the receiving half of `socket`, after a read found the end of the
/// stream.
receive_end read_receive_end(int socket);
/// Returns nothing if the kernel does not support the query.
std::optional<tcp_send_state> read_send_state(int socket);
/// Sets the time without progress after which the kernel drops a connection with
/// unacknowledged bytes; zero stands for the kernel's default. Failures are ignored.
void set_user_timeout(int socket, state::milliseconds timeout);

} // namespace pomelorouter::transport
