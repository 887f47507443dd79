#pragma once

#include "app/node/control_component.hpp"
#include "app/node/settings_component.hpp"
#include "coordination/placement_agent.hpp"

#include <cstdint>
#include <set>
#include <string>

namespace pomelorouter::app
{

/// What the instance list alone tells of the other nodes.
class listed_peers : public control_component, public coordination::peer_knowledge
{
public:
    explicit listed_peers(const node_identity& identity);

    void on_instances(const instances_listed& event) override;
    void contribute(state::node_view& view) override;

    bool is_dead(const std::string& node, std::uint64_t incarnation) const override;
    std::size_t lease_rank(const std::string& scope) const override;
    bool may_hold_lease() const override { return this->has_list; }

private:
    const node_identity& identity;
    bool has_list = false;
    /// All listed nodes, and those that stay.
    std::set<std::string> present;
    std::set<std::string> live;
};

} // namespace pomelorouter::app
