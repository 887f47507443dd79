#pragma once

#include <cstdint>
#include <string>

namespace pomelorouter::coordination
{

/// What is known of another process.
enum class process_state
{
    /// This process.
    self,
    /// It may be reached at its node id.
    alive,
    /// It will never run anything again.
    dead,
    unknown,
};

/// Tells what is known of a process, which a node id and an incarnation name.
class process_liveness
{
public:
    virtual ~process_liveness() = default;

    virtual process_state state_of(const std::string& node,
                                   std::uint64_t incarnation) const = 0;
};

} // namespace pomelorouter::coordination
