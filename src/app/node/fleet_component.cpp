#include "app/node/fleet_component.hpp"

#include "coordination/replica_choice.hpp"

#include <utility>

namespace pomelorouter::app
{

using state::instance_kind;
using state::instance_state;

fleet_component::fleet_component(const node_identity& node, control_loop& control,
                                 engine_poller& engines, state::event_log& event_log)
    : identity(node), loop(control), poller(engines), events(event_log)
{
}

void fleet_component::on_instances(const instances_listed& event)
{
    std::map<std::string, backend> next;
    std::vector<state::instance> engines;
    for (const state::instance& item : event.instances)
    {
        if (item.kind == instance_kind::node)
            continue;
        const auto known = this->backends.find(item.id);
        const bool same_process = known != this->backends.end() &&
                                  known->second.instance.incarnation == item.incarnation;
        backend entry = same_process ? std::move(known->second) : backend{};
        entry.instance = item;
        if (this->is_leaving(item))
            entry.instance.state = instance_state::leaving;
        next.emplace(item.id, std::move(entry));
        if (item.kind == instance_kind::engine)
            engines.push_back(item);
    }
    for (const auto& [id, entry] : this->backends)
    {
        if (!next.contains(id))
            this->events.record("backend_gone", {{"backend", id}});
    }
    this->backends = std::move(next);
    this->poller.set_engines(std::move(engines), this->poll_period);
    this->loop.mark_changed();
}

bool fleet_component::is_leaving(const state::instance& item)
{
    // Leaving is final for an incarnation, even if a later list says otherwise: the list
    // may lag, may differ between nodes, and may omit an instance for a while.
    const auto [found, is_new] =
        this->leaving_incarnations.try_emplace(item.id, item.incarnation);
    const bool was_leaving = !is_new && found->second == item.incarnation;
    if (was_leaving)
        return true;
    if (item.state != instance_state::leaving)
    {
        this->leaving_incarnations.erase(found);
        return false;
    }
    found->second = item.incarnation;
    this->events.record("backend_leaving", {{"backend", item.id}});
    return true;
}

void fleet_component::on_engine(const engine_reported& event)
{
    const auto found = this->backends.find(event.engine);
    if (found == this->backends.end())
        return;
    backend& entry = found->second;
    if (!entry.reachable)
        this->events.record("engine_reachable", {{"engine", event.engine}});
    entry.reachable = true;
    entry.inventory = event.inventory;
    entry.load = event.load;
    entry.load_received = std::chrono::steady_clock::now();
    this->loop.mark_changed();
}

void fleet_component::on_engine_unreachable(const engine_unreachable& event)
{
    const auto found = this->backends.find(event.engine);
    if (found == this->backends.end() || !found->second.reachable)
        return;
    found->second.reachable = false;
    this->events.record("engine_unreachable", {{"engine", event.engine}});
    this->loop.mark_changed();
}

void fleet_component::contribute(state::node_view& view)
{
    if (!view.current_settings)
        return;
    this->poll_period = state::milliseconds(
        view.current_settings->attributes.get(state::attribute::load_poll_ms));
    this->contribute_engines(view);
    this->contribute_services(view);
}

state::backend_view fleet_component::make_view(const backend& item,
                                               const state::settings& settings) const
{
    state::backend_view view;
    view.id = item.instance.id;
    view.address = item.instance.address;
    view.zone = item.instance.zone;
    view.incarnation = item.instance.incarnation;
    view.distance_us = settings.distance_us(this->identity.zone, item.instance.zone);
    view.leaving = item.instance.state == instance_state::leaving;
    view.load = item.load;
    view.load_received = item.load_received;
    return view;
}

void fleet_component::contribute_engines(state::node_view& view) const
{
    const state::settings& settings = *view.current_settings;
    for (const auto& [service_name, service] : settings.services)
    {
        for (const auto& [model_name, model] : service.models)
            view.models[service_name + "/" + model_name].settings = &model;
    }
    std::vector<coordination::engine_content> contents;
    for (const auto& [id, item] : this->backends)
    {
        if (item.instance.kind != instance_kind::engine || !item.reachable)
            continue;
        const auto index = static_cast<std::uint32_t>(view.engines.size());
        view.engines.push_back(this->make_view(item, settings));
        contents.push_back({index, item.instance.state == instance_state::leaving,
                            &item.inventory.resident});
    }
    for (auto& [key, model] : view.models)
        coordination::choose_replicas(contents, model);
}

void fleet_component::contribute_services(state::node_view& view) const
{
    const state::settings& settings = *view.current_settings;
    for (const auto& [name, service] : settings.services)
    {
        if (service.kind == state::service_kind::plain)
            view.plain_services[name].settings = &service;
    }
    for (const auto& [id, item] : this->backends)
    {
        const auto service = view.plain_services.find(item.instance.service);
        if (item.instance.kind != instance_kind::service ||
            service == view.plain_services.end())
            continue;
        service->second.backends.push_back(
            static_cast<std::uint32_t>(view.services.size()));
        view.services.push_back(this->make_view(item, settings));
    }
}

} // namespace pomelorouter::app
