#pragma once

namespace pomelorouter::transport
{

/// Idle connections of a client to one address that a call may take, and among which its
/// own connection is kept afterwards.
enum class connection_pool
{
    /// Calls whose responses carry the id of their request.
    identified,
    /// Calls whose responses carry no id. A repeated response is then read only by a call
    /// of the same kind.
    control,
    /// Opens a connection and closes it after the response.
    none,
};

} // namespace pomelorouter::transport
