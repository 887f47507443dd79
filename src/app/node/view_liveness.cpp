#include "app/node/view_liveness.hpp"

namespace pomelorouter::app
{

using coordination::process_state;

view_liveness::view_liveness(const node_identity& node, const state::node_view& node_view)
    : identity(node), view(node_view)
{
}

process_state view_liveness::state_of(const std::string& node,
                                      std::uint64_t incarnation) const
{
    if (node == this->identity.id)
    {
        return incarnation == this->identity.incarnation ? process_state::self
                                                         : process_state::dead;
    }
    // The listed incarnation may be older or newer than the actual one, so any listed
    // node with this id counts as alive. The request is forwarded to it, and only the
    // process itself knows its incarnation for certain.
    return this->find(node) == nullptr ? process_state::unknown : process_state::alive;
}

const state::node_address* view_liveness::find(const std::string& node) const
{
    for (const state::node_address& entry : this->view.nodes)
    {
        if (entry.id == node)
            return &entry;
    }
    return nullptr;
}

} // namespace pomelorouter::app
