#pragma once

#include "protocol/gateway_heartbeat.hpp"

#include <compare>
#include <string>

namespace pomelorouter::coordination
{

/// Source of a report: one gateway, an availability zone, or all others.
struct peer_key
{
    protocol::load_scope scope = protocol::load_scope::none;
    /// Name of the gateway or of the zone; empty for all others.
    std::string name;

    auto operator<=>(const peer_key&) const = default;
};

} // namespace pomelorouter::coordination
