#pragma once

namespace pomelorouter::app
{

/// Exit codes of the commands, as documented in docs/operations.md.
enum class exit_code : int
{
    success = 0,
    /// The command line or a settings file is invalid; the command changed nothing.
    usage = 2,
    /// The system rejected the request, for example because another change was accepted
    /// first.
    refused = 3,
    /// The command could not connect to any node, or a node did not answer in time.
    unreachable = 4,
    internal = 5,
};

} // namespace pomelorouter::app
