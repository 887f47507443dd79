#pragma once

#include "protocol/gateway_heartbeat.hpp"

#include <string>
#include <tuple>

namespace pomelorouter::coordination
{

/// Source of a load report: one gateway, an availability zone, or all other gateways.
struct report_source
{
    protocol::load_scope scope = protocol::load_scope::none;
    /// Name of the gateway or zone; empty for all other gateways.
    std::string name;

    bool operator==(const report_source&) const = default;
    bool operator<(const report_source& other) const
    {
        return std::tie(this->scope, this->name) < std::tie(other.scope, other.name);
    }
};

} // namespace pomelorouter::coordination
