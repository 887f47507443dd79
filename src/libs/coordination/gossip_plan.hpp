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

/// One heartbeat to send.
struct gossip_target
{
    std::string node;
    /// Where to send it, `ip:port`.
    std::string address;
    /// What its loads count.
    protocol::load_scope scope = protocol::load_scope::none;
    /// Whether it carries the demand for models as well.
    bool has_rates = false;
    /// Whether it carries what engines are about to hold.
    bool has_weights = false;
    /// Ticks from one to the next one to the same gateway.
    int ticks = 1;
};

/// Another gateway, as the plan needs it.
struct gossip_peer
{
    protocol::gateway_member member;
    bool is_alive = false;
    /// It was heard lately, and said that it adds up the reports of its zone.
    bool is_aggregating = false;
};

/// Below this number of others, all gateways tell one another that they are alive. In
/// larger fleets the aggregators do, since such signs of life grow with the square.
inline constexpr std::size_t small_fleet = 16;
/// Aggregators tell of the members from this number on, a little below, since the others
/// may count a few more.
inline constexpr std::size_t told_fleet = 12;

/// Time between two ticks of the plan.
inline constexpr state::milliseconds gossip_tick{100};

/// Whom a gateway sends heartbeats to, and what they carry.
///
/// The gateways of an availability zone report to one of them, the aggregator. It adds
/// the reports up, exchanges the sums with the aggregators of the other zones, and tells
/// its own zone the result, so that the traffic grows with the number of gateways.
/// What the holder of the placement lease announces takes the same way, and so does who
/// is there. In a small fleet all gateways also tell one another that they are alive.
class gossip_plan
{
public:
    explicit gossip_plan(protocol::gateway_member own);

    /// Takes over who is there; `holder` is the holder of the placement lease.
    void update(std::vector<gossip_peer> members, std::string lease_holder);
    /// What is due in tick `number`.
    std::vector<gossip_target> targets(std::uint64_t number) const;
    /// What is sent at all, whenever it is due.
    std::vector<gossip_target> all_targets() const;
    /// The aggregator of `zone`: the strongest of its living gateways. Empty if none
    /// lives there.
    std::string aggregator_of(const std::string& zone) const;
    /// Whether this gateway adds up the reports of its zone.
    bool is_aggregator() const;
    /// The gateways that this one counts on to pass on what it says, and to tell it what
    /// it does not hear itself.
    std::vector<std::string> relied_on() const;
    /// Whether this gateway, as an aggregator, tells of the members. Where all hear one
    /// another that would only keep the dead alive for longer.
    bool tells_members() const;
    /// Ticks from one report, or sum, in the own zone to the next.
    int ticks_in_zone() const;

private:
    std::optional<gossip_target> target_for(const gossip_peer& peer) const;
    /// Appends a gateway of each zone whose aggregator is not known, another one in each
    /// tick.
    void add_searches(std::uint64_t number, std::vector<gossip_target>& result) const;
    bool is_small_fleet() const;

    protocol::gateway_member self;
    std::string holder;
    std::vector<gossip_peer> peers;
    /// Gateways of the own zone among them, living or not.
    std::size_t near_peers = 0;
    /// The aggregator of each zone.
    std::map<std::string, protocol::gateway_member> aggregators;
    /// The zones of which it was heard lately.
    std::set<std::string> aggregators_heard;
};

} // namespace pomelorouter::coordination
