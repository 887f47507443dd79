#pragma once

#include <cstdint>
#include <string>

namespace pomelorouter::coordination
{

/// Known state of a process.
enum class process_state
{
    /// This process.
    self,
    /// It can be reached under its node id.
    alive,
    /// It has definitely ended and executes nothing any more.
    dead,
    unknown,
};

/// Reports the state of a process, which a node id and an incarnation identify.
class process_liveness
{
public:
    virtual ~process_liveness() = default;

    virtual process_state state_of(const std::string& node,
                                   std::uint64_t incarnation) const = 0;
};

} // namespace pomelorouter::coordination
