#pragma once

#include "coordination/membership.hpp"
#include "coordination/placement_agent.hpp"

#include <algorithm>
#include <cstdint>
#include <string>

namespace pomelorouter::app
{

/// Provides the placement agent with the state of other nodes, as known to membership.
class membership_peer_status : public coordination::peer_status
{
public:
    explicit membership_peer_status(const coordination::membership& known)
        : members(known)
    {
    }

    bool has_ended(const std::string& node, std::uint64_t incarnation) const override
    {
        return this->members.has_ended(node, incarnation);
    }
    std::size_t lease_rank(const std::string& scope) const override
    {
        return this->members.rank("placement/" + scope);
    }
    /// False while this node catches up after a pause or hears from too few peers.
    bool may_hold_lease() const override
    {
        return this->members.health() == coordination::own_health::healthy;
    }
    std::size_t serving_nodes() const override
    {
        const auto others = this->members.members();
        return 1 + static_cast<std::size_t>(std::count_if(others.begin(), others.end(),
                                                          [](const auto& member)
                                                          { return member.ready; }));
    }

private:
    const coordination::membership& members;
};

} // namespace pomelorouter::app
