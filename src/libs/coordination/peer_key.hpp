#pragma once

#include "protocol/gateway_heartbeat.hpp"

#include <string>
#include <tuple>

namespace pomelorouter::coordination
{

/// Source of a load report: one gateway, an availability zone, or all other gateways.
struct peer_key
{
    protocol::load_scope scope = protocol::load_scope::none;
    /// Name of the gateway or zone; empty for all other gateways.
    std::string name;

    bool operator==(const peer_key&) const = default;
    bool operator<(const peer_key& other) const
    {
        return std::tie(this->scope, this->name) < std::tie(other.scope, other.name);
    }
};

} // namespace pomelorouter::coordination
