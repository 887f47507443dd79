#include "coordination/gossip_plan.hpp"

#include <algorithm>
#include <utility>

namespace pomelorouter::coordination
{

using protocol::load_scope;

namespace
{

/// Interval, in ticks, of heartbeats that contain no reports.
constexpr int default_ticks = 2;
/// From this number of other gateways in the zone on, reports and sums are sent half as
/// often, so that a small instance can handle the traffic.
constexpr std::size_t large_zone = 8;

} // namespace

gossip_plan::gossip_plan(protocol::gateway_member own) : self(std::move(own)) {}

void gossip_plan::update(std::vector<gossip_peer> members, std::string lease_holder)
{
    this->peers = std::move(members);
    this->holder = std::move(lease_holder);
    this->peers_in_zone = 0;
    this->aggregators.clear();
    this->zones_with_heard_aggregator.clear();
    this->aggregators[this->self.zone] = this->self;
    for (const gossip_peer& peer : this->peers)
    {
        const protocol::gateway_member& member = peer.member;
        const bool is_same_zone = member.zone == this->self.zone;
        this->peers_in_zone += is_same_zone ? 1 : 0;
        if (!peer.is_alive)
            continue;
        // In another zone, a gateway that already aggregates takes precedence over the
        // strongest one.
        const bool is_acting = !is_same_zone && peer.is_aggregating;
        const bool has_acting = this->zones_with_heard_aggregator.count(member.zone) > 0;
        const auto [found, is_new] = this->aggregators.emplace(member.zone, member);
        if (!is_new && ((is_acting && !has_acting) ||
                        (is_acting == has_acting && is_preferred(member, found->second))))
            found->second = member;
        if (is_acting)
            this->zones_with_heard_aggregator.insert(member.zone);
    }
}

std::string gossip_plan::aggregator_of(const std::string& zone_name) const
{
    const auto found = this->aggregators.find(zone_name);
    return found == this->aggregators.end() ? "" : found->second.node;
}

bool gossip_plan::is_aggregator() const
{
    return this->aggregator_of(this->self.zone) == this->self.node;
}

std::vector<std::string> gossip_plan::required_gateways() const
{
    std::vector<std::string> result;
    for (const auto& [zone, member] : this->aggregators)
    {
        const bool is_own_zone = zone == this->self.zone;
        if (member.node != this->self.node && (is_own_zone || this->is_aggregator()))
            result.push_back(member.node);
    }
    return result;
}

std::vector<gossip_target> gossip_plan::targets(std::uint64_t number) const
{
    std::vector<gossip_target> result;
    // Distributes heartbeats to many receivers evenly over the ticks.
    std::uint64_t turn = number;
    for (gossip_target& target : this->all_targets())
    {
        if (turn++ % static_cast<std::uint64_t>(target.ticks) == 0)
            result.push_back(std::move(target));
    }
    if (this->is_aggregator() && !this->is_small_fleet())
        this->add_discovery_targets(number, result);
    return result;
}

std::vector<gossip_target> gossip_plan::all_targets() const
{
    std::vector<gossip_target> result;
    for (const gossip_peer& peer : this->peers)
    {
        if (auto target = this->target_for(peer))
            result.push_back(std::move(*target));
    }
    return result;
}

std::optional<gossip_target> gossip_plan::target_for(const gossip_peer& peer) const
{
    const protocol::gateway_member& member = peer.member;
    const bool is_same_zone = member.zone == this->self.zone;
    const bool is_holder = member.node == this->holder;
    const bool is_its_aggregator = member.node == this->aggregator_of(member.zone);
    const bool is_own_holder = this->self.node == this->holder;
    gossip_target target{member.node, member.datagrams, load_scope::none, false,
                         false,       default_ticks};
    target.has_weights =
        (is_own_holder && is_its_aggregator) || (this->is_aggregator() && is_same_zone);
    if (!this->is_aggregator() && is_same_zone && is_its_aggregator)
    {
        target.scope = load_scope::gateway;
        target.has_rates = true;
        target.ticks = this->report_interval_ticks();
        return target;
    }
    if (this->is_aggregator() && (is_same_zone || is_holder || is_its_aggregator))
    {
        target.scope = is_same_zone ? load_scope::others : load_scope::zone;
        target.has_rates = is_holder;
        target.ticks = this->report_interval_ticks();
        return target;
    }
    if (target.has_weights || this->is_small_fleet())
        return target;
    return std::nullopt;
}

void gossip_plan::add_discovery_targets(std::uint64_t number,
                                        std::vector<gossip_target>& result) const
{
    std::map<std::string, std::vector<const gossip_peer*>> unknown;
    for (const gossip_peer& peer : this->peers)
    {
        const std::string& zone = peer.member.zone;
        if (zone != this->self.zone && this->zones_with_heard_aggregator.count(zone) == 0)
            unknown[zone].push_back(&peer);
    }
    for (const auto& [zone, members] : unknown)
    {
        const protocol::gateway_member& member = members[number % members.size()]->member;
        result.push_back({member.node, member.datagrams, load_scope::none, false, false,
                          default_ticks});
    }
}

bool gossip_plan::announces_members() const
{
    return this->is_aggregator() && this->peers.size() >= min_announced_fleet;
}

bool gossip_plan::is_small_fleet() const
{
    return this->peers.size() < full_mesh_limit;
}

int gossip_plan::report_interval_ticks() const
{
    return this->peers_in_zone < large_zone ? 1 : 2;
}

} // namespace pomelorouter::coordination
