#pragma once

#include "app/node/control_component.hpp"
#include "app/node/control_loop.hpp"
#include "app/node/settings_component.hpp"

#include <vector>

namespace pomelorouter::app
{

/// Keeps the list of nodes that the address query answers with.
class node_list_component : public control_component
{
public:
    node_list_component(const node_identity& identity, control_loop& loop);

    void on_instances(const instances_listed& event) override;
    void contribute(state::node_view& view) override;

private:
    const node_identity& identity;
    control_loop& loop;
    std::vector<state::instance> nodes;
};

} // namespace pomelorouter::app
