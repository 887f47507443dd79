#pragma once

#include "app/node/settings_component.hpp"
#include "coordination/process_liveness.hpp"
#include "state/node_view.hpp"

namespace pomelorouter::app
{

/// Determines the state of processes from the node list of a snapshot.
class view_liveness : public coordination::process_liveness
{
public:
    view_liveness(const node_identity& node, const state::node_view& node_view);

    coordination::process_state state_of(const std::string& node,
                                         std::uint64_t incarnation) const override;
    /// Returns the address of a listed node, or null.
    const state::node_address* find(const std::string& node) const;

private:
    const node_identity& identity;
    const state::node_view& view;
};

} // namespace pomelorouter::app
