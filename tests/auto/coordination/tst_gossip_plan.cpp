#include "coordination/gossip_plan.hpp"

#include <doctest/doctest.h>

#include <map>
#include <set>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::gossip_peer;
using coordination::gossip_plan;
using coordination::gossip_target;
using protocol::load_scope;

constexpr int zones = 4;
constexpr int ticks_per_s = 10;

std::string zone_of(int index)
{
    return "zone-" + std::to_string(index % zones);
}

std::string name_of(int index)
{
    return "n" + std::to_string(1000 + index);
}

gossip_peer peer_of(int index, bool is_alive = true)
{
    gossip_peer peer;
    peer.member.node = name_of(index);
    peer.member.zone = zone_of(index);
    peer.member.datagrams = "10.0.0.1:" + std::to_string(index);
    peer.is_alive = is_alive;
    peer.is_aggregating = is_alive && index < zones;
    return peer;
}

/// Returns the plan of gateway `index` among `count`, where those in `dead` are not
/// alive.
gossip_plan plan_of(int index, int count, const std::string& holder,
                    const std::set<int>& dead = {})
{
    std::vector<gossip_peer> peers;
    for (int other = 0; other < count; ++other)
    {
        if (other != index)
            peers.push_back(peer_of(other, dead.count(other) == 0));
    }
    gossip_plan plan(peer_of(index).member);
    plan.update(std::move(peers), holder);
    return plan;
}

/// Returns the datagrams that `count` gateways send per second, and how many have loads.
std::pair<int, int> datagrams_per_s(int count)
{
    int all = 0;
    int with_loads = 0;
    for (int index = 0; index < count; ++index)
    {
        const gossip_plan plan = plan_of(index, count, name_of(2));
        for (int tick = 0; tick < ticks_per_s; ++tick)
        {
            for (const gossip_target& target : plan.targets(tick))
            {
                ++all;
                with_loads += target.scope == load_scope::none ? 0 : 1;
            }
        }
    }
    return {all, with_loads};
}

} // namespace

// Guards against calls that a gateway counts twice or not at all.
TEST_CASE("each gateway receives the calls of each other gateway exactly once")
{
    const int count = 17;
    const int holder = 7;
    const std::set<int> dead = {0, 5};
    // The gateways whose loads and rates arrived, by receiver.
    std::map<std::string, std::multiset<std::string>> loads;
    std::map<std::string, std::multiset<std::string>> zone_sums;
    std::multiset<std::string> rates_at_holder;
    std::map<std::string, gossip_plan> plans;
    for (int index = 0; index < count; ++index)
    {
        if (dead.count(index) == 0)
            plans.emplace(name_of(index), plan_of(index, count, name_of(holder), dead));
    }
    const auto deliver = [&](load_scope scope)
    {
        for (const auto& [node, plan] : plans)
        {
            for (const gossip_target& target : plan.all_targets())
            {
                if (target.scope != scope || plans.count(target.node) == 0)
                    continue;
                auto& known = loads[target.node];
                if (scope == load_scope::gateway)
                {
                    known.insert(node);
                    continue;
                }
                std::multiset<std::string> sum = zone_sums[node];
                if (scope == load_scope::others)
                    sum = loads[node];
                sum.insert(node);
                if (sum.count(target.node) > 0)
                    sum.erase(sum.find(target.node));
                const bool uses_loads =
                    plans.at(target.node).is_aggregator() == (scope == load_scope::zone);
                if (uses_loads)
                    known.insert(sum.begin(), sum.end());
                if (!target.has_rates)
                    continue;
                std::multiset<std::string> zone = zone_sums[node];
                zone.insert(node);
                zone.erase(target.node);
                rates_at_holder.insert(zone.begin(), zone.end());
            }
        }
        if (scope == load_scope::gateway)
            zone_sums = loads;
    };
    deliver(load_scope::gateway);
    deliver(load_scope::zone);
    deliver(load_scope::others);
    for (const auto& receiver : plans)
    {
        const std::string& node = receiver.first;
        CAPTURE(node);
        std::multiset<std::string> expected;
        for (const auto& [other, ignored] : plans)
        {
            if (other != node)
                expected.insert(other);
        }
        CHECK(loads[node] == expected);
        if (node == name_of(holder))
            CHECK(rates_at_holder == expected);
    }
}

TEST_CASE("the strongest live gateway of a zone is its aggregator")
{
    std::vector<gossip_peer> peers{peer_of(0), peer_of(4), peer_of(8)};
    peers[1].member.capacity = 100;
    gossip_plan plan(peer_of(12).member);
    plan.update(peers, "");
    CHECK(plan.aggregator_of("zone-0") == name_of(4));
    peers[1].is_alive = false;
    plan.update(peers, "");
    CHECK(plan.aggregator_of("zone-0") == name_of(0));
}

// Guards against a holder whose announcements saturate its network link.
TEST_CASE("announcements of the holder reach each gateway through the aggregators")
{
    const int count = 17;
    const int holder = 7;
    std::map<std::string, int> received;
    for (int index = 0; index < count; ++index)
    {
        int sent = 0;
        const gossip_plan plan = plan_of(index, count, name_of(holder));
        for (const gossip_target& target : plan.all_targets())
        {
            received[target.node] += target.has_weights ? 1 : 0;
            sent += target.has_weights ? 1 : 0;
        }
        if (index == holder)
            CHECK(sent == zones);
    }
    for (int index = 0; index < count; ++index)
        CHECK(received[name_of(index)] == 1);
}

TEST_CASE("each zone with a live gateway has one aggregator")
{
    const gossip_plan plan = plan_of(6, 12, "", {2, 3, 7, 11});
    CHECK(plan.is_aggregator());
    CHECK(plan.aggregator_of("zone-0") == name_of(0));
    CHECK(plan.aggregator_of("zone-2") == name_of(6));
    CHECK(plan.aggregator_of("zone-3").empty());
    CHECK_FALSE(plan_of(10, 12, "", {2, 3, 7, 11}).is_aggregator());
}

// Guards against heartbeat traffic that grows with the square of the fleet size.
TEST_CASE("the number of datagrams grows linearly with the number of gateways")
{
    const auto [few, few_loads] = datagrams_per_s(32);
    const auto [many, many_loads] = datagrams_per_s(256);
    CHECK(many_loads < 9 * few_loads);
    CHECK(many < 9 * few);
}

// Guards against a gateway that others in a large fleet do not know. Its aggregator must
// hear it, and the zone and the other aggregators must hear the aggregator.
TEST_CASE("in a large fleet each gateway is connected to all others through aggregators")
{
    const int count = 60;
    std::map<std::string, std::set<std::string>> heard;
    for (int index = 0; index < count; ++index)
    {
        const gossip_plan plan = plan_of(index, count, "");
        for (int tick = 0; tick < ticks_per_s; ++tick)
        {
            for (const gossip_target& target : plan.targets(tick))
            {
                // The receiver keeps the sender alive for three of these periods.
                CHECK(target.ticks <= 3);
                heard[target.node].insert(name_of(index));
            }
        }
    }
    for (int index = 0; index < count; ++index)
    {
        CAPTURE(index);
        const std::string aggregator = name_of(index % zones);
        const bool is_aggregator = index < zones;
        if (!is_aggregator)
        {
            CHECK(heard[aggregator].count(name_of(index)) == 1);
            CHECK(heard[name_of(index)].count(aggregator) == 1);
            CHECK(heard[name_of(index)].size() == 1);
            continue;
        }
        for (int other = 0; other < zones; ++other)
            CHECK((other == index || heard[aggregator].count(name_of(other)) == 1));
    }
}

TEST_CASE("in a small fleet all gateways hear one another")
{
    const int count = 8;
    const gossip_plan plan = plan_of(5, count, "");
    std::map<std::string, int> heard;
    for (int tick = 0; tick < ticks_per_s; ++tick)
    {
        for (const gossip_target& target : plan.targets(tick))
            ++heard[target.node];
    }
    CHECK(heard.size() == count - 1);
    for (const auto& [node, times] : heard)
        CHECK(times >= 2);
    // Notices of an aggregator would stay valid for longer than the heartbeat timeout.
    CHECK_FALSE(plan_of(0, count, "").announces_members());
    CHECK(plan_of(0, 13, "").announces_members());
    CHECK_FALSE(plan_of(5, 60, "").announces_members());
}

// Guards against two zones that never discover each other because the known strongest
// gateway of each has ended.
TEST_CASE("an aggregator contacts all gateways of a zone without a known aggregator")
{
    const int count = 60;
    std::vector<gossip_peer> peers;
    for (int other = 1; other < count; ++other)
        peers.push_back(peer_of(other, zone_of(other) != "zone-1"));
    gossip_plan plan(peer_of(0).member);
    plan.update(peers, "");
    REQUIRE(plan.is_aggregator());
    std::set<std::string> asked;
    for (int tick = 0; tick < count / zones; ++tick)
    {
        for (const gossip_target& target : plan.targets(tick))
            asked.insert(target.node);
    }
    for (int other = 1; other < count; other += zones)
        CHECK(asked.count(name_of(other)) == 1);
}

TEST_CASE("in another zone the acting aggregator is preferred to the strongest gateway")
{
    std::vector<gossip_peer> peers;
    for (int other = 1; other < 40; ++other)
        peers.push_back(peer_of(other));
    peers[0].is_aggregating = false;
    peers[8].is_aggregating = true; // n1009 of zone-1
    gossip_plan plan(peer_of(0).member);
    plan.update(peers, "");
    CHECK(plan.aggregator_of("zone-1") == name_of(9));
    CHECK(plan.aggregator_of("zone-2") == name_of(2));
}
