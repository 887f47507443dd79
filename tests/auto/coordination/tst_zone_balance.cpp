#include "coordination/zone_balance.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::zone_balance;
using coordination::zone_prices;
using state::milliseconds;
using state::time_point;

constexpr std::size_t zone_count = 4;
constexpr std::size_t gateways_per_zone = 20;

std::string zone_name(std::size_t number)
{
    return "z" + std::to_string(number);
}

struct server
{
    std::size_t zone = 0;
    double slots = 6.0;
    double work_ms = 20.0;
    double active = 0.0;
};

struct replay_result
{
    int requests = 0;
    int left_zone = 0;
    int late = 0;
    double wait_ms = 0.0;
    int direction_changes = 0;
};

/// Requests of four zones to servers in all of them. A gateway knows its own calls at
/// once and those of others as they were 0.4 s ago. With `has_balance` it is told the
/// loads of the zones.
replay_result replay(std::vector<server> servers,
                     const std::array<double, zone_count>& requests_per_s,
                     bool has_balance)
{
    constexpr double step_ms = 10.0;
    constexpr int steps = 3000;
    constexpr int update_steps = 50;
    constexpr std::size_t age_steps = 40;
    constexpr double target_ms = 100.0;
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    std::vector<zone_balance> balances;
    for (std::size_t i = 0; i < zone_count * gateways_per_zone; ++i)
        balances.emplace_back(zone_name(i / gateways_per_zone), zone_prices{});
    const std::size_t count = servers.size();
    // Calls of each gateway that are younger than the figures.
    std::vector<std::vector<double>> unseen(balances.size(),
                                            std::vector<double>(count, 0.0));
    std::deque<std::vector<double>> history;
    std::vector<double> shares(balances.size(), 0.0);
    std::vector<int> directions(balances.size(), 0);
    replay_result result;
    time_point now{state::seconds(100)};
    const double bytes = coordination::request_bytes(0, 0);
    for (int step = 0; step < steps; ++step, now += milliseconds(10))
    {
        std::vector<double> actual;
        for (server& item : servers)
        {
            const double served =
                std::min(item.active, item.slots) * step_ms / item.work_ms;
            item.active = std::max(0.0, item.active - served);
            actual.push_back(item.active);
        }
        history.push_back(actual);
        if (history.size() > age_steps)
            history.pop_front();
        for (std::vector<double>& own : unseen)
        {
            for (double& calls : own)
                calls *= 1.0 - 1.0 / static_cast<double>(age_steps);
        }
        const std::vector<double>& seen = history.front();
        if (has_balance && step % update_steps == 0)
        {
            zone_balance::load_map loads;
            for (std::size_t i = 0; i < count; ++i)
            {
                loads[zone_name(servers[i].zone)].active += seen[i];
                loads[zone_name(servers[i].zone)].slots += servers[i].slots;
            }
            for (std::size_t i = 0; i < balances.size(); ++i)
            {
                balances[i].update(now, now, "plain", loads);
                const double share = balances[i].share("plain");
                const int direction =
                    share > shares[i] ? 1 : (share < shares[i] ? -1 : directions[i]);
                result.direction_changes += directions[i] * direction < 0 ? 1 : 0;
                directions[i] = direction;
                shares[i] = share;
            }
        }
        for (std::size_t zone = 0; zone < zone_count; ++zone)
        {
            std::poisson_distribution<> arrivals(requests_per_s[zone] * step_ms / 1000.0);
            for (int left = arrivals(random); left > 0; --left)
            {
                const std::size_t gateway =
                    zone * gateways_per_zone +
                    static_cast<std::size_t>(unit(random) * gateways_per_zone);
                const double draw = unit(random);
                std::size_t best = 0;
                double best_cost = 1.0e9;
                for (std::size_t i = 0; i < count; ++i)
                {
                    const double known = seen[i] + unseen[gateway][i];
                    const double wait_ms =
                        servers[i].work_ms *
                        (1.0 + known / servers[i].slots +
                         std::max(0.0, known + 1.0 - servers[i].slots) /
                             servers[i].slots);
                    const double cost = wait_ms + 2.0 * unit(random) +
                                        balances[gateway].cost_ms(
                                            now, "plain", zone_name(servers[i].zone),
                                            wait_ms, target_ms, bytes, draw);
                    if (cost >= best_cost)
                        continue;
                    best_cost = cost;
                    best = i;
                }
                unseen[gateway][best] += 1.0;
                server& chosen = servers[best];
                chosen.active += 1.0;
                const double wait_ms =
                    chosen.work_ms * std::max(1.0, chosen.active / chosen.slots) +
                    (chosen.zone == zone ? 0.0 : 3.0);
                ++result.requests;
                result.left_zone += chosen.zone == zone ? 0 : 1;
                result.late += wait_ms > target_ms ? 1 : 0;
                result.wait_ms += wait_ms;
            }
        }
    }
    result.wait_ms /= result.requests;
    return result;
}

std::vector<server> two_servers_in_each_zone()
{
    std::vector<server> servers;
    for (std::size_t i = 0; i < zone_count * 2; ++i)
        servers.push_back({i / 2, 6.0, 20.0, 0.0});
    return servers;
}

} // namespace

// Guards against traffic between zones that saves no waiting, against lost capacity when
// one zone has too little, and against shares that swing.
TEST_CASE("requests leave their zone when it is short of capacity, and otherwise rarely")
{
    std::vector<server> even = two_servers_in_each_zone();
    std::vector<server> short_zone = two_servers_in_each_zone();
    short_zone.erase(short_zone.begin());
    std::vector<server> slow_zone = two_servers_in_each_zone();
    slow_zone[0].work_ms = 60.0;
    slow_zone[1].work_ms = 60.0;
    struct row
    {
        const char* name;
        std::vector<server> servers;
        std::array<double, zone_count> load;
    };
    const std::vector<row> rows{
        {"room everywhere", even, {250.0, 250.0, 250.0, 250.0}},
        {"one zone short", short_zone, {350.0, 250.0, 250.0, 250.0}},
        {"one zone slow", slow_zone, {250.0, 250.0, 250.0, 250.0}},
        {"all full", even, {540.0, 540.0, 540.0, 540.0}},
    };
    for (const row& item : rows)
    {
        CAPTURE(std::string(item.name));
        const replay_result before = replay(item.servers, item.load, false);
        const replay_result after = replay(item.servers, item.load, true);
        MESSAGE(std::string(item.name)
                << ": of " << after.requests << " requests left the zone "
                << before.left_zone << " before, " << after.left_zone << " after; late "
                << before.late << ", " << after.late << "; mean wait " << before.wait_ms
                << ", " << after.wait_ms << " ms; turns of 80 shares "
                << after.direction_changes);
        CHECK(after.left_zone < before.left_zone);
        CHECK(after.late <= before.late * 1.02);
        CHECK(after.wait_ms <= before.wait_ms * 1.05);
        // A share turns once in five seconds at most.
        CHECK(after.direction_changes <= 6 * 80);
    }
}

// Guards against a price that keeps a request from the only zone that can serve it in
// time, and against decisions on old or missing figures.
TEST_CASE("the price of a request to another zone")
{
    const time_point start{state::seconds(100)};
    zone_balance balance("home", {3.0, 2000.0});
    constexpr double target_ms = 100.0;
    constexpr double bytes = 10000.0;
    constexpr double price_ms = 20.0;
    const auto cost = [&](const char* zone, double expected_ms, double draw = 0.5,
                          milliseconds age = milliseconds(0)) {
        return balance.cost_ms(start + age, "s", zone, expected_ms, target_ms, bytes,
                               draw);
    };
    // Without figures only the round trip counts.
    CHECK(cost("home", 10.0) == doctest::Approx(0.0));
    CHECK(cost("other", 10.0) == doctest::Approx(3.0));
    balance.update(start, start, "s", {{"home", {1.0, 10.0}}, {"other", {1.0, 10.0}}});
    CHECK(balance.share("s") == doctest::Approx(0.0));
    CHECK(cost("home", 10.0) == doctest::Approx(0.0));
    CHECK(cost("other", 10.0) == doctest::Approx(3.0 + price_ms));
    // Late at home, in time elsewhere: the price is the same.
    CHECK(cost("home", 101.0) == doctest::Approx(price_ms));
    CHECK(cost("other", 97.0) == doctest::Approx(3.0 + price_ms));
    // Late everywhere: the price counts once.
    CHECK(cost("other", 500.0) == doctest::Approx(3.0 + price_ms));
    // Old figures.
    CHECK(cost("other", 10.0, 0.5, milliseconds(2001)) == doctest::Approx(3.0));
    // A zone without other zones has no figures to compare.
    balance.update(start, start, "s", {{"home", {1.0, 10.0}}});
    CHECK(cost("other", 10.0) == doctest::Approx(3.0));
}

// Guards against shares and prices that go on by the calls of one gateway after the
// reports of all others have stopped.
TEST_CASE("figures without recent reports decide nothing")
{
    time_point now{state::seconds(100)};
    zone_balance balance("home", {3.0, 2000.0});
    const zone_balance::load_map crowded{{"home", {9.0, 10.0}}, {"other", {1.0, 10.0}}};
    const zone_balance::load_map own_calls{{"home", {0.0, 10.0}}, {"other", {0.0, 10.0}}};
    for (int i = 0; i < 3; ++i)
    {
        now += milliseconds(500);
        balance.update(now, now, "s", crowded);
    }
    const double share = balance.share("s");
    CHECK(share > 0.0);
    CHECK(balance.cost_ms(now, "s", "other", 10.0, 100.0, 10000.0, 0.9) ==
          doctest::Approx(23.0));
    const time_point reported_at = now;
    for (int i = 0; i < 10; ++i)
    {
        now += milliseconds(500);
        balance.update(now, reported_at, "s",
                       now - reported_at > milliseconds(1500) ? own_calls : crowded);
    }
    CHECK(balance.share("s") >= share);
    CHECK(balance.cost_ms(now, "s", "other", 10.0, 100.0, 10000.0, 0.9) ==
          doctest::Approx(3.0));
    // The share moves again with the first reports.
    balance.update(now, now, "s", crowded);
    CHECK(balance.cost_ms(now, "s", "other", 10.0, 100.0, 10000.0, 0.9) ==
          doctest::Approx(23.0));
}

// Guards against a share that jumps, or that moves on a difference too small to matter.
TEST_CASE("the share moves in small steps and stays within the hysteresis")
{
    const auto update = [](zone_balance& balance, int count, double home, double other)
    {
        static time_point now{state::seconds(100)};
        double largest = 0.0;
        for (int i = 0; i < count; ++i)
        {
            const double before = balance.share("s");
            now += milliseconds(500);
            balance.update(now, now, "s",
                           {{"home", {home, 10.0}}, {"other", {other, 10.0}}});
            largest = std::max(largest, std::abs(balance.share("s") - before));
        }
        return largest;
    };
    zone_balance balance("home");
    CHECK(update(balance, 40, 9.0, 3.0) <= 0.1001);
    CHECK(balance.share("s") == doctest::Approx(1.0));
    CHECK(update(balance, 60, 8.0, 7.0) < 0.1001);
    const double held = balance.share("s");
    CHECK(held == doctest::Approx(1.0));
    // There is room at home again.
    CHECK(update(balance, 60, 2.0, 3.0) <= 0.1001);
    CHECK(balance.share("s") == doctest::Approx(0.0));
    // All zones are full.
    update(balance, 60, 10.0, 10.0);
    CHECK(balance.share("s") == doctest::Approx(0.0));
}
