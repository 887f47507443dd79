#pragma once

#include "coordination/membership.hpp"
#include "coordination/placement_agent.hpp"

#include <cstdint>
#include <string>

namespace pomelorouter::app
{

/// Answers the placement agent's questions about other nodes from the membership.
class membership_peers : public coordination::peer_knowledge
{
public:
    explicit membership_peers(const coordination::membership& members);

    bool is_dead(const std::string& node, std::uint64_t incarnation) const override;
    std::size_t lease_rank(const std::string& scope) const override;
    bool may_hold_lease() const override;

private:
    const coordination::membership& members;
};

} // namespace pomelorouter::app
