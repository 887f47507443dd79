#include "app/node/node_list_component.hpp"

#include <algorithm>

namespace pomelorouter::app
{

node_list_component::node_list_component(const node_identity& node, control_loop& control)
    : identity(node), loop(control)
{
}

void node_list_component::on_instances(const instances_listed& event)
{
    this->nodes.clear();
    for (const state::instance& item : event.instances)
    {
        if (item.kind == state::instance_kind::node &&
            item.state == state::instance_state::live && item.id != this->identity.id)
            this->nodes.push_back(item);
    }
    this->loop.mark_changed();
}

void node_list_component::contribute(state::node_view& view)
{
    state::node_address self;
    self.id = this->identity.id;
    self.address = this->identity.address;
    self.zone = this->identity.zone;
    self.incarnation = this->identity.incarnation;
    self.ready = view.ready == state::readiness::ready;
    view.nodes.push_back(self);
    for (const state::instance& item : this->nodes)
    {
        state::node_address entry;
        entry.id = item.id;
        entry.address = item.address;
        entry.zone = item.zone;
        entry.incarnation = item.incarnation;
        entry.ready = true;
        if (view.current_settings)
        {
            entry.distance_us =
                view.current_settings->distance_us(this->identity.zone, item.zone);
        }
        view.nodes.push_back(entry);
    }
    std::stable_sort(view.nodes.begin(), view.nodes.end(),
                     [](const state::node_address& a, const state::node_address& b)
                     { return a.distance_us < b.distance_us; });
}

} // namespace pomelorouter::app
