#include "coordination/gossip_plan.hpp"

#include <algorithm>
#include <utility>

namespace pomelorouter::coordination
{

using protocol::load_scope;

namespace
{

/// Signs of life are this many ticks apart.
constexpr int usual_ticks = 2;
/// Within a zone they are rarer in proportion above this number of gateways.
constexpr std::size_t near_gateways_per_period = 16;
/// Above this number of gateways in a zone its aggregator sends half as often, so that a
/// small instance can bear it.
constexpr std::size_t large_zone = 8;
/// To other zones they are rarer in proportion above this number of gateways there.
constexpr std::size_t far_gateways_per_period = 8;
constexpr int longest_ticks = 10;

int ticks_among(std::size_t gateways, std::size_t gateways_per_period)
{
    const auto share = static_cast<int>(gateways / gateways_per_period);
    return std::clamp(usual_ticks * share, usual_ticks, longest_ticks);
}

} // namespace

gossip_plan::gossip_plan(protocol::gateway_member own) : self(std::move(own)) {}

void gossip_plan::update(std::vector<gossip_peer> members, std::string lease_holder)
{
    this->peers = std::move(members);
    this->holder = std::move(lease_holder);
    this->near_peers = 0;
    this->aggregators.clear();
    this->aggregators[this->self.zone] = this->self;
    for (const gossip_peer& peer : this->peers)
    {
        const protocol::gateway_member& member = peer.member;
        this->near_peers += member.zone == this->self.zone ? 1 : 0;
        if (!peer.is_alive)
            continue;
        const auto [first, is_only] = this->aggregators.emplace(member.zone, member);
        if (!is_only && is_stronger(member, first->second))
            first->second = member;
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

std::vector<gossip_target> gossip_plan::targets(std::uint64_t number) const
{
    std::vector<gossip_target> result;
    // Spreads what goes to many receivers over the ticks.
    std::uint64_t turn = number;
    for (gossip_target& target : this->all_targets())
    {
        if (turn++ % static_cast<std::uint64_t>(target.ticks) == 0)
            result.push_back(std::move(target));
    }
    return result;
}

std::vector<gossip_target> gossip_plan::all_targets() const
{
    std::vector<gossip_target> result;
    for (const gossip_peer& peer : this->peers)
        result.push_back(this->target_for(peer));
    return result;
}

gossip_target gossip_plan::target_for(const gossip_peer& peer) const
{
    const protocol::gateway_member& member = peer.member;
    const bool is_near = member.zone == this->self.zone;
    const bool is_holder = member.node == this->holder;
    const bool is_its_aggregator = member.node == this->aggregator_of(member.zone);
    gossip_target target{member.node,
                         member.datagrams,
                         load_scope::none,
                         false,
                         false,
                         is_near ? ticks_among(this->near_peers, near_gateways_per_period)
                                 : ticks_among(this->peers.size() - this->near_peers,
                                               far_gateways_per_period)};
    const bool is_own_holder = this->self.node == this->holder;
    target.has_weights =
        (is_own_holder && is_its_aggregator) || (this->is_aggregator() && is_near);
    if (!this->is_aggregator())
    {
        if (is_near && is_its_aggregator)
        {
            target.scope = load_scope::gateway;
            target.has_rates = true;
            target.ticks = 1;
        }
        return target;
    }
    if (is_near || is_holder || is_its_aggregator)
    {
        target.scope = is_near ? load_scope::others : load_scope::zone;
        target.has_rates = is_holder;
        target.ticks = this->ticks_to_zone();
    }
    return target;
}

int gossip_plan::ticks_to_zone() const
{
    return this->near_peers < large_zone ? 1 : 2;
}

} // namespace pomelorouter::coordination
