#pragma once

namespace pomelorouter::app
{

/// Exit codes of the commands, as documented in docs/operations.md.
enum class exit_code : int
{
    success = 0,
    /// The command line or a settings file has an error; nothing was done.
    usage = 2,
    /// The system refused, for example because another change came first.
    refused = 3,
    /// No node could be reached, or it did not answer in time.
    unreachable = 4,
    internal = 5,
};

} // namespace pomelorouter::app
