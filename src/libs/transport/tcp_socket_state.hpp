#pragma once

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

} // namespace pomelorouter::transport
