#pragma once

#include "app/node/control_component.hpp"
#include "app/node/control_loop.hpp"
#include "app/node/settings_component.hpp"
#include "coordination/membership.hpp"
#include "transport/peer_sender.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pomelorouter::app
{

/// Exchanges heartbeats and settings with the other nodes, and adds the nodes and this
/// node's readiness to the snapshot. Must be added after the components that contribute
/// backend servers, because it marks them as leaving.
class membership_component : public control_component
{
public:
    membership_component(const node_identity& identity, control_loop& loop,
                         settings_component& settings, transport::peer_sender& peers,
                         state::event_log& events, std::uint64_t seed);

    void set_seeds(std::vector<std::string> addresses);
    /// Immediately notifies the peers that this node has begun a planned stop.
    void announce_leaving();
    const coordination::membership& members() const { return this->membership; }
    /// Marks a backend server as leaving and passes this on to the peers.
    void mark_backend_leaving(const protocol::leaving_backend& backend,
                              state::time_point now);

    void on_page(const stream_page& event) override;
    void on_instances(const instances_listed& event) override;
    void on_peer(const peer_received& event) override;
    void on_tick(state::time_point now) override;
    void contribute(state::node_view& view) override;

private:
    void on_heartbeat(const transport::peer_delivery& delivery,
                      const protocol::heartbeat& message, state::time_point now);
    void on_pull(const transport::peer_delivery& delivery,
                 const protocol::settings_pull& message);
    void on_state(const std::string& peer, const protocol::settings_state& message);
    void pull_if_behind(const std::string& peer, std::uint64_t peer_offset,
                        state::time_point now);
    void send_all(const std::vector<coordination::outgoing_heartbeat>& messages);
    void update_own();
    void contribute_nodes(state::node_view& view) const;
    protocol::peer_envelope envelope(protocol::peer_message message) const;

    const node_identity& identity;
    control_loop& loop;
    settings_component& settings;
    transport::peer_sender& peers;
    state::event_log& events;
    coordination::membership membership;
    coordination::own_health last_health = coordination::own_health::healthy;
    bool is_leaving = false;
    /// When a peer was first seen to be ahead; reset when this node's offset advances.
    std::optional<state::time_point> behind_since;
    std::uint64_t last_offset = 0;
    std::optional<state::time_point> last_pull;
};

} // namespace pomelorouter::app
