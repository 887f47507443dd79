#pragma once

#include "protocol/gateway_heartbeat.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pomelorouter::coordination
{

/// One heartbeat to send, and what it contains.
struct gossip_target
{
    std::string node;
    /// Destination as `ip:port`.
    std::string address;
    /// Which gateways its load figures cover.
    protocol::load_scope scope = protocol::load_scope::none;
    /// Whether it contains the demand for models.
    bool has_rates = false;
    /// Whether it contains the planned model weights of the engines.
    bool has_weights = false;
    /// Ticks between heartbeats to the same gateway.
    int ticks = 1;
};

/// Another gateway, as input of the plan.
struct gossip_peer
{
    protocol::gateway_member member;
    bool is_alive = false;
    /// Whether its recent heartbeats say that it aggregates the reports of its zone.
    bool is_aggregating = false;
};

/// Below this number of other gateways, all gateways send heartbeats to one another. In
/// larger fleets the aggregators announce the members, because the number of direct
/// heartbeats grows with the square of the number of gateways.
inline constexpr std::size_t full_mesh_limit = 16;
/// Aggregators announce the members from this number of other gateways on. It is below
/// `full_mesh_limit` because other gateways may count a few more members.
inline constexpr std::size_t min_announced_fleet = 12;

/// Interval between ticks of the plan.
inline constexpr state::milliseconds gossip_tick_period{100};

/// Decides to which gateways this one sends heartbeats, and what they contain.
///
/// The gateways of an availability zone send their reports to one of them, the
/// aggregator. It sums the reports, exchanges the sums with the aggregators of the other
/// zones and sends the result to its own zone, so that the traffic grows linearly with
/// the number of gateways. Aggregators also forward the announcements of the holder of
/// the placement lease and the list of members. In a small fleet all gateways also send
/// heartbeats to one another.
class gossip_plan
{
public:
    explicit gossip_plan(protocol::gateway_member own);

    /// Replaces the list of other gateways and the holder of the placement lease.
    void update(std::vector<gossip_peer> members, std::string lease_holder);
    /// Returns the heartbeats that are due in tick `number`.
    std::vector<gossip_target> targets(std::uint64_t number) const;
    /// Returns the heartbeats to all regular targets, regardless of when they are due.
    std::vector<gossip_target> all_targets() const;
    /// Returns the aggregator of `zone`, empty if none of its gateways is alive. In the
    /// own zone it is the strongest live gateway; in others, one that already aggregates
    /// is preferred.
    std::string aggregator_of(const std::string& zone) const;
    /// Whether this gateway aggregates the reports of its zone.
    bool is_aggregator() const;
    /// Returns the gateways on which this one depends to forward its reports and to send
    /// it information that it does not receive directly.
    std::vector<std::string> required_gateways() const;
    /// Whether this gateway is an aggregator that announces the members. Where all
    /// gateways hear one another, announcements would only delay the detection of failed
    /// ones.
    bool announces_members() const;
    /// Returns the ticks between reports, or sums, in the own zone.
    int report_interval_ticks() const;

private:
    std::optional<gossip_target> target_for(const gossip_peer& peer) const;
    /// Appends one gateway of each zone whose aggregator was not heard, a different one
    /// in each tick.
    void add_discovery_targets(std::uint64_t number,
                               std::vector<gossip_target>& result) const;
    bool is_small_fleet() const;

    protocol::gateway_member self;
    std::string holder;
    std::vector<gossip_peer> peers;
    /// Number of peers in the own zone, alive or not.
    std::size_t peers_in_zone = 0;
    /// The aggregator of each zone.
    std::map<std::string, protocol::gateway_member> aggregators;
    /// Zones whose aggregator was heard recently.
    std::set<std::string> zones_with_heard_aggregator;
};

} // namespace pomelorouter::coordination
