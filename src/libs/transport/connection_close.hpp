#pragma once

namespace pomelorouter::transport
{

/// How far the last call on a connection of a client has come.
enum class call_progress
{
    /// No request has been sent since the connection was opened or kept.
    none,
    /// The response is not complete.
    unanswered,
    /// The response is complete, but the request is not fully written.
    answered_early,
    answered,
};

/// How a client closes a connection.
enum class close_kind
{
    /// The kernel still delivers what was written, however long that takes.
    orderly,
    /// The kernel discards what the server has not acknowledged.
    reset,
};

/// Decides how to close a connection, so that no request reaches a server after its
/// sender has given it up.
close_kind choose_close(call_progress progress);

} // namespace pomelorouter::transport
