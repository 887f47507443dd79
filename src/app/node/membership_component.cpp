#include "app/node/membership_component.hpp"

#include "state/log.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace pomelorouter::app
{

using coordination::own_health;
using state::attribute;
using state::milliseconds;
using state::readiness;

namespace
{

// Delay before asking a peer for settings: while the log is available it delivers a
// change to every node sooner, without load on the peers.
constexpr milliseconds pull_delay{1500};
constexpr milliseconds pull_interval{500};
constexpr const char* settings_stream = "settings";

coordination::membership_times times_of(const state::attribute_values& values)
{
    coordination::membership_times result;
    result.heartbeat = milliseconds(values.get(attribute::heartbeat_ms));
    result.suspect_after = milliseconds(values.get(attribute::suspect_after_ms));
    result.rejoin_after = milliseconds(values.get(attribute::rejoin_after_ms));
    result.pause_limit = milliseconds(values.get(attribute::pause_limit_ms));
    return result;
}

/// Availability zones in the region of `zone`; empty if the settings do not list `zone`.
std::set<std::string, std::less<>> zones_around(const state::settings& settings,
                                                const std::string& zone)
{
    std::set<std::string, std::less<>> result;
    const auto own = settings.zones.find(zone);
    if (own == settings.zones.end())
        return result;
    for (const auto& [name, item] : settings.zones)
    {
        if (item.region == own->second.region)
            result.insert(name);
    }
    return result;
}

void mark_leaving(std::vector<state::backend_view>& backends,
                  const coordination::membership& members)
{
    for (state::backend_view& backend : backends)
    {
        if (members.is_leaving({backend.id, backend.incarnation}))
            backend.leaving = true;
    }
}

} // namespace

membership_component::membership_component(
    const node_identity& node, control_loop& control, settings_component& settings_source,
    transport::peer_sender& peer_network, state::event_log& event_log, std::uint64_t seed)
    : identity(node),
      loop(control),
      settings(settings_source),
      peers(peer_network),
      events(event_log),
      membership(node.id, node.incarnation, node.peer_address, seed)
{
}

void membership_component::set_seeds(std::vector<std::string> addresses)
{
    this->membership.set_seeds(std::move(addresses));
}

void membership_component::announce_leaving()
{
    this->is_leaving = true;
    this->update_own();
    this->send_all(this->membership.announce());
    this->loop.mark_changed();
}

void membership_component::mark_backend_leaving(const protocol::leaving_backend& backend,
                                                state::time_point now)
{
    this->membership.mark_backend_leaving(backend, now);
    this->loop.mark_changed();
}

void membership_component::on_page(const stream_page& event)
{
    if (event.stream == settings_stream)
        this->membership.on_log_read(std::chrono::steady_clock::now());
}

void membership_component::on_instances(const instances_listed& event)
{
    this->membership.on_list(event.instances, std::chrono::steady_clock::now());
    this->loop.mark_changed();
}

void membership_component::on_peer(const peer_received& event)
{
    const transport::peer_delivery& delivery = event.delivery;
    const protocol::peer_message& message = delivery.envelope.message;
    if (const auto* heartbeat = std::get_if<protocol::heartbeat>(&message))
        this->on_heartbeat(delivery, *heartbeat, std::chrono::steady_clock::now());
    else if (const auto* pull = std::get_if<protocol::settings_pull>(&message))
        this->on_pull(delivery, *pull);
    else if (const auto* state = std::get_if<protocol::settings_state>(&message))
        this->on_state(delivery.envelope.sender, *state);
}

void membership_component::on_heartbeat(const transport::peer_delivery& delivery,
                                        const protocol::heartbeat& message,
                                        state::time_point now)
{
    this->membership.on_heartbeat(message, now);
    if (delivery.needs_answer)
        this->peers.answer(delivery.connection,
                           this->envelope(this->membership.make_response()));
    this->pull_if_behind(message.origin.node, message.settings_offset, now);
    this->loop.mark_changed();
}

void membership_component::pull_if_behind(const std::string& peer,
                                          std::uint64_t peer_offset,
                                          state::time_point now)
{
    const coordination::replicated_settings& fold = this->settings.fold();
    if (peer_offset <= fold.next_offset())
        return;
    if (!this->behind_since)
        this->behind_since = now;
    const bool waits_for_log = fold.is_known() && now - *this->behind_since < pull_delay;
    const bool pulled_recently =
        this->last_pull && now - *this->last_pull < pull_interval;
    if (waits_for_log || pulled_recently)
        return;
    std::string target;
    for (const coordination::member_status& member : this->membership.members())
    {
        if (member.id == peer)
            target = member.peer_address;
    }
    if (target.empty())
        return;
    this->last_pull = now;
    this->peers.send(std::move(target),
                     this->envelope(protocol::settings_pull{fold.next_offset()}));
}

void membership_component::on_pull(const transport::peer_delivery& delivery,
                                   const protocol::settings_pull& message)
{
    const coordination::replicated_settings& fold = this->settings.fold();
    if (!fold.is_known() || fold.next_offset() <= message.offset)
        return;
    protocol::settings_snapshot snapshot = fold.snapshot();
    snapshot.header.writer = this->identity.id;
    snapshot.header.incarnation = this->identity.incarnation;
    this->peers.answer(delivery.connection,
                       this->envelope(protocol::settings_state{
                           protocol::format_settings_record(snapshot)}));
}

void membership_component::on_state(const std::string& peer,
                                    const protocol::settings_state& message)
{
    try
    {
        const auto record = protocol::parse_settings_record(message.snapshot);
        const auto* snapshot = std::get_if<protocol::settings_snapshot>(&record);
        if (snapshot != nullptr && this->settings.adopt(*snapshot, peer))
            this->behind_since.reset();
    }
    catch (const state::error& failure)
    {
        state::log_event(state::log_level::warning, "peer_settings_refused")
            .field("peer", peer)
            .field("error", failure.what());
    }
}

void membership_component::on_tick(state::time_point now)
{
    const auto& fold = this->settings.fold();
    if (const auto& current = fold.resolved())
    {
        this->membership.set_times(times_of(current->attributes));
        this->membership.set_region_zones(zones_around(*current, this->identity.zone));
    }
    this->update_own();
    this->send_all(this->membership.tick(now));
    for (const coordination::membership_event& event : this->membership.take_events())
    {
        this->events.record("peer_" + std::string(to_string(event.kind)),
                            {{"node", event.node}});
        this->loop.mark_changed();
    }
    if (std::exchange(this->last_health, this->membership.health()) != this->last_health)
    {
        static constexpr std::array<const char*, 3> names{"healthy", "catching_up",
                                                          "isolated"};
        this->events.record(
            "node_health",
            {{"health", names.at(static_cast<std::size_t>(this->last_health))}});
        this->loop.mark_changed();
    }
}

void membership_component::update_own()
{
    const auto& fold = this->settings.fold();
    coordination::own_state own;
    own.leaving = this->is_leaving;
    own.ready = fold.resolved() != nullptr && !this->is_leaving &&
                this->membership.health() == own_health::healthy;
    // Announces the settings offset only if this node can send the state to a peer.
    own.settings_offset = fold.is_known() ? fold.next_offset() : 0;
    own.settings_version = fold.version();
    this->membership.set_own(own);
    if (this->behind_since && fold.next_offset() != this->last_offset)
        this->behind_since.reset();
    this->last_offset = fold.next_offset();
}

void membership_component::contribute(state::node_view& view)
{
    const own_health health = this->membership.health();
    if (this->is_leaving)
        view.ready = readiness::draining;
    else if (view.ready == readiness::ready && health == own_health::catching_up)
        view.ready = readiness::catching_up;
    else if (view.ready == readiness::ready && health == own_health::isolated)
        view.ready = readiness::isolated;
    mark_leaving(view.engines, this->membership);
    mark_leaving(view.services, this->membership);
    this->contribute_nodes(view);
}

void membership_component::contribute_nodes(state::node_view& view) const
{
    state::node_address self;
    self.id = this->identity.id;
    self.address = this->identity.address;
    self.zone = this->identity.zone;
    self.incarnation = this->identity.incarnation;
    self.ready = view.ready == readiness::ready;
    view.nodes.push_back(self);
    for (const coordination::member_status& member : this->membership.members())
    {
        if (!member.live || member.address.empty())
            continue;
        state::node_address entry;
        entry.id = member.id;
        entry.address = member.address;
        entry.zone = member.zone;
        entry.incarnation = member.incarnation;
        entry.ready = member.ready;
        if (view.current_settings)
        {
            entry.distance_us =
                view.current_settings->distance_us(this->identity.zone, member.zone);
        }
        view.nodes.push_back(entry);
    }
    std::stable_sort(view.nodes.begin(), view.nodes.end(),
                     [](const state::node_address& a, const state::node_address& b)
                     { return a.distance_us < b.distance_us; });
}

void membership_component::send_all(
    const std::vector<coordination::outgoing_heartbeat>& messages)
{
    for (const coordination::outgoing_heartbeat& item : messages)
        this->peers.send(item.address, this->envelope(item.message));
}

protocol::peer_envelope
membership_component::envelope(protocol::peer_message message) const
{
    return {this->identity.id, std::move(message)};
}

} // namespace pomelorouter::app
