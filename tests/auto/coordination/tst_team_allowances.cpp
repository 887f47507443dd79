#include "coordination/random_source.hpp"
#include "coordination/team_allowances.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

// Allowances of a team over many gateways. Time is virtual, and schedules are seeded.

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::team_allowances;
using coordination::team_usage_report;
using coordination::team_usage_reports;
using protocol::load_scope;
using state::milliseconds;
using state::seconds;

constexpr milliseconds step{20};
constexpr double step_s = 0.02;
constexpr milliseconds tick{100};
/// The stated bound: in any window, the rate times the window and the burst, and a tenth
/// more, and a tolerance.
constexpr milliseconds window{8000};
constexpr double window_s = 8.0;
constexpr double overshoot = 1.1;
constexpr double tolerance = 17000.0;
/// Cost of a request: prompt and output tokens.
constexpr double min_cost = 1000.0;
constexpr double mean_cost = 2400.0;
/// A zone replaces a lost aggregator after this time.
constexpr milliseconds aggregator_timeout{1000};
/// With more gateways in a zone, reports go out with every other tick.
constexpr std::size_t large_zone = 8;

const state::time_point start{std::chrono::hours(1)};

/// Rules of a simulation.
struct fleet_options
{
    std::size_t gateways = 6;
    std::size_t zones = 3;
    double per_s = 343388.0;
    double burst = 343388.0;
    std::uint64_t seed = 1;
    /// Without shares, each gateway applies the whole allowance to its own requests.
    bool has_shares = true;
};

/// Gateways that report to one another over the aggregators of their zones.
class allowance_fleet
{
public:
    explicit allowance_fleet(const fleet_options& chosen)
        : options(chosen), random(chosen.seed)
    {
        for (std::size_t index = 0; index < this->options.gateways; ++index)
            this->add_gateway();
    }

    void add_gateway()
    {
        auto node = std::make_unique<gateway>();
        node->name = "g" + std::to_string(this->nodes.size());
        node->zone = this->nodes.size() % this->options.zones;
        node->next_tick = this->now + milliseconds(this->random.below(tick.count()));
        this->nodes.push_back(std::move(node));
        this->weights.push_back(1.0);
        this->restart(this->nodes.size() - 1);
    }

    void restart(std::size_t index)
    {
        gateway& node = *this->nodes[index];
        node.allowances = {};
        node.reports = {};
        node.is_running = true;
        node.aggregator = this->nodes.size();
        node.allowances.set_teams(this->now, {this->team()});
        node.allowances.set_is_list_read(true);
        this->set_known(node);
    }

    void stop(std::size_t index) { this->nodes[index]->is_running = false; }
    void thaw(std::size_t index) { this->nodes[index]->is_running = true; }

    /// Gateways of different groups do not reach one another.
    void set_group(std::size_t index, std::size_t group)
    {
        this->nodes[index]->group = group;
    }

    void set_limit(double per_s, double burst)
    {
        this->options.per_s = per_s;
        this->options.burst = burst;
        for (auto& node : this->nodes)
            node->allowances.set_teams(this->now, {this->team()});
    }

    /// Part of the requests that gateway `index` receives, relative to the others.
    void set_weight(std::size_t index, double weight) { this->weights[index] = weight; }

    /// Callers of the team ask for `ratio` times its limit.
    void run(milliseconds duration, double ratio)
    {
        const double per_step =
            ratio * this->options.per_s / mean_cost * step_s /
            std::accumulate(this->weights.begin(), this->weights.end(), 0.0);
        for (const state::time_point end = this->now + duration; this->now < end;
             this->now += step)
        {
            this->deliver();
            for (std::size_t index = 0; index < this->nodes.size(); ++index)
            {
                gateway& node = *this->nodes[index];
                if (!node.is_running)
                    continue;
                if (this->now >= node.next_tick)
                    this->send_reports(index);
                this->ask(node, per_step * this->weights[index]);
            }
        }
    }

    /// Largest use in a window, as a part of the bound. `allowed` is the allowance.
    double largest_window(double per_s, double burst,
                          state::time_point begin = start) const
    {
        double sum = 0.0;
        double largest = 0.0;
        auto first = this->admitted.begin();
        for (auto last = first; last != this->admitted.end(); ++last)
        {
            sum += last->cost;
            while (last->at - first->at > window || first->at < begin)
            {
                sum -= first->cost;
                if (first == last)
                    break;
                ++first;
            }
            if (first->at >= begin)
                largest = std::max(largest, sum);
        }
        return largest / ((per_s * window_s + burst) * overshoot + tolerance);
    }
    double largest_window() const
    {
        return this->largest_window(this->options.per_s, this->options.burst);
    }

    /// What was admitted since `begin`, as a part of the limit.
    double admitted_share(state::time_point begin) const
    {
        double sum = 0.0;
        for (const admission& item : this->admitted)
            sum += item.at >= begin ? item.cost : 0.0;
        return sum / (this->options.per_s *
                      std::chrono::duration<double>(this->now - begin).count());
    }

    std::size_t asked = 0;
    std::size_t refused = 0;
    state::time_point now = start;

private:
    struct gateway
    {
        std::string name;
        std::size_t zone = 0;
        std::size_t group = 0;
        bool is_running = true;
        team_allowances allowances;
        team_usage_reports reports;
        state::time_point next_tick{};
        std::uint64_t ticks = 0;
        /// The gateway that this one believes to be the aggregator of its zone.
        std::size_t aggregator = 0;
    };
    struct message
    {
        state::time_point due{};
        std::size_t receiver = 0;
        coordination::report_source source;
        team_usage_report report;
    };
    struct admission
    {
        state::time_point at{};
        double cost = 0.0;
    };

    state::team team() const
    {
        state::team result;
        result.name = "t";
        result.allowance = {state::allowance_unit::tokens, this->options.per_s,
                            this->options.burst, 200.0};
        return result;
    }

    /// Names only the gateways that are reached; others were named before.
    void set_known(gateway& node)
    {
        std::vector<coordination::known_gateway> names;
        for (const auto& other : this->nodes)
        {
            const bool is_new = this->now < start + seconds(1);
            if (other.get() != &node && this->options.has_shares &&
                (is_new || other->group == node.group))
                names.push_back({other->name, true});
        }
        node.allowances.set_known(this->now, names);
    }

    void ask(gateway& node, double mean)
    {
        // Number of requests in this step, Poisson distributed.
        double product = this->random.unit();
        const double least = std::exp(-mean);
        for (; product > least; product *= this->random.unit())
        {
            ++this->asked;
            const double more = mean_cost - min_cost;
            const double cost = min_cost - more * std::log(1.0 - this->random.unit());
            if (node.allowances.admit(this->now, "t", cost, this->random.unit())
                    .is_admitted)
                this->admitted.push_back({this->now, cost});
            else
                ++this->refused;
        }
    }

    /// The first running gateway of the zone and group, which others accept only after
    /// they missed the one before for a while.
    std::size_t aggregator_of(std::size_t zone, std::size_t group)
    {
        auto& [known, missing_since] = this->aggregators[{zone, group}];
        const auto is_suitable = [&](std::size_t index)
        {
            return index < this->nodes.size() && this->nodes[index]->is_running &&
                   this->nodes[index]->zone == zone && this->nodes[index]->group == group;
        };
        if (is_suitable(known))
        {
            missing_since = this->now;
            return known;
        }
        if (this->now - missing_since<aggregator_timeout&& this->now> start + step)
            return known;
        for (std::size_t index = 0; index < this->nodes.size(); ++index)
        {
            if (!is_suitable(index))
                continue;
            known = index;
            return index;
        }
        return this->nodes.size();
    }

    void send_reports(std::size_t index)
    {
        gateway& node = *this->nodes[index];
        node.next_tick = this->now + tick;
        if (node.ticks % 10 == 0)
            this->set_known(node);
        if (!this->options.has_shares)
        {
            node.allowances.set_others(this->now, {});
            return;
        }
        const std::size_t aggregator = this->aggregator_of(node.zone, node.group);
        const bool is_aggregator = aggregator == index;
        if (aggregator != node.aggregator && (is_aggregator || node.aggregator == index))
            node.reports.forget_peers();
        node.aggregator = aggregator;
        node.allowances.set_others(this->now, node.reports.others(this->now));
        const std::size_t in_zone = this->nodes.size() / this->options.zones;
        const std::uint64_t interval = in_zone > large_zone ? 2 : 1;
        if (node.ticks++ % interval != 0)
            return;
        const team_usage_report own = node.allowances.own_usage();
        if (!is_aggregator)
        {
            this->send(node, aggregator, {load_scope::gateway, node.name}, own);
            return;
        }
        team_usage_report all = node.reports.others(this->now);
        all += own;
        team_usage_report zone = node.reports.zone(this->now);
        zone += own;
        for (std::size_t other = 0; other < this->nodes.size(); ++other)
        {
            const gateway& receiver = *this->nodes[other];
            if (other == index || receiver.group != node.group)
                continue;
            if (receiver.zone == node.zone)
            {
                team_usage_report others = all;
                others -= node.reports.report_of(this->now,
                                                 {load_scope::gateway, receiver.name});
                this->send(node, other, {load_scope::others, ""}, std::move(others));
            }
            else if (other == this->aggregator_of(receiver.zone, receiver.group))
            {
                this->send(node, other,
                           {load_scope::zone, "z" + std::to_string(node.zone)}, zone);
            }
        }
    }

    void send(const gateway& sender, std::size_t receiver,
              coordination::report_source source, team_usage_report report)
    {
        if (receiver < this->nodes.size() && this->nodes[receiver]->group == sender.group)
            this->messages.push_back(
                {this->now + step, receiver, std::move(source), std::move(report)});
    }

    void deliver()
    {
        while (!this->messages.empty() && this->messages.front().due <= this->now)
        {
            message& item = this->messages.front();
            gateway& node = *this->nodes[item.receiver];
            const bool is_aggregator = node.aggregator == item.receiver;
            const bool is_sum = item.source.scope == load_scope::others;
            if (node.is_running && is_sum != is_aggregator)
                node.reports.set_peer(this->now, item.source, std::move(item.report));
            this->messages.pop_front();
        }
    }

    fleet_options options;
    coordination::random_source random;
    std::vector<std::unique_ptr<gateway>> nodes;
    std::vector<double> weights;
    std::deque<message> messages;
    std::deque<admission> admitted;
    std::map<std::pair<std::size_t, std::size_t>,
             std::pair<std::size_t, state::time_point>>
        aggregators;
};

struct fleet_size
{
    std::size_t gateways;
    std::size_t zones;
};

const std::vector<fleet_size> sizes{{6, 3}, {91, 3}, {300, 5}};
/// Limits of a large and a small team.
const std::vector<double> limits{343388.0, 20000.0};
/// Usual use of a team, as a part of its limit.
constexpr double usual = 0.55;

/// Calls `check` for each size of the fleet and of the team.
void for_each_size(const std::function<void(const fleet_options&)>& check,
                   std::uint64_t seed = 1)
{
    for (const fleet_size& size : sizes)
    {
        for (const double limit : limits)
        {
            fleet_options options;
            options.seed = seed;
            options.gateways = size.gateways;
            options.zones = size.zones;
            options.per_s = limit;
            options.burst = limit;
            CAPTURE(size.gateways);
            CAPTURE(limit);
            check(options);
        }
    }
}

/// Whether the equal part of a gateway is less than a request in two seconds.
bool has_small_parts(const fleet_options& options)
{
    return options.per_s / static_cast<double>(options.gateways) < mean_cost / 2.0;
}

/// The same without the largest fleet.
void for_each_medium_size(const std::function<void(const fleet_options&)>& check)
{
    for (const std::uint64_t seed : {1, 2, 3})
    {
        CAPTURE(seed);
        for_each_size(
            [&check](const fleet_options& options)
            {
                if (options.gateways < 100)
                    check(options);
            },
            seed);
    }
}

/// Gives the first gateways most of the requests.
void set_uneven(allowance_fleet& fleet, std::size_t gateways)
{
    const std::size_t few = std::max<std::size_t>(gateways / 30, 2);
    constexpr double few_share = 0.8;
    for (std::size_t index = 0; index < few; ++index)
    {
        fleet.set_weight(index, few_share / (1.0 - few_share) *
                                    static_cast<double>(gateways - few) /
                                    static_cast<double>(few));
    }
}

} // namespace

// Guards against a team that is refused although it uses less than its allowance.
TEST_CASE("a team within its allowance is not refused")
{
    for_each_size(
        [](const fleet_options& options)
        {
            for (const bool is_uneven : {false, true})
            {
                CAPTURE(is_uneven);
                allowance_fleet fleet(options);
                if (is_uneven)
                    set_uneven(fleet, options.gateways);
                // The gateways have heard of one another, and know the demand.
                fleet.run(seconds(10), 0.0);
                fleet.run(seconds(5), usual);
                fleet.refused = 0;
                fleet.asked = 0;
                fleet.run(seconds(30), usual);
                // Where a part is smaller than a request, one of them in a hundred may
                // find its gateway's part used by the ones before.
                CHECK(fleet.refused <=
                      (has_small_parts(options) ? fleet.asked / 100 + 1 : 0));
                CHECK(fleet.largest_window() <= 1.0);
            }
        });
}

// Guards against a team that gets more than its allowance by a sudden rise of its
// requests, and against one that gets much less.
TEST_CASE("a team far beyond its limit gets its allowance and no more")
{
    for_each_size(
        [](const fleet_options& options)
        {
            for (const double ratio : {5.0, 10.0})
            {
                for (const bool is_uneven : {false, true})
                {
                    CAPTURE(ratio);
                    CAPTURE(is_uneven);
                    allowance_fleet fleet(options);
                    fleet.run(seconds(10), 0.0);
                    fleet.run(seconds(10), usual);
                    if (is_uneven)
                        set_uneven(fleet, options.gateways);
                    const state::time_point begin = fleet.now;
                    fleet.run(seconds(20), ratio);
                    CHECK(fleet.largest_window() <= 1.0);
                    // Small parts are used only in steps of whole requests.
                    CHECK(fleet.admitted_share(begin) >=
                          (has_small_parts(options) ? 0.6 : 0.8));
                }
            }
        });
}

// Shows that the bound fails if each gateway applies the allowance by itself.
TEST_CASE("without shares the use of a team exceeds its allowance")
{
    fleet_options options;
    options.has_shares = false;
    allowance_fleet fleet(options);
    fleet.run(seconds(10), 0.0);
    fleet.run(seconds(10), 10.0);
    CHECK(fleet.largest_window() > 2.0);
}

// Guards against an allowance that is filled up again by restarts, or taken twice while
// aggregators change.
TEST_CASE("restarts, suspensions and lost aggregators do not add to an allowance")
{
    for_each_medium_size(
        [](const fleet_options& options)
        {
            const std::size_t third = options.gateways / 3;
            allowance_fleet restarted(options);
            restarted.run(seconds(10), 0.0);
            restarted.run(seconds(5), 5.0);
            for (int round = 0; round < 3; ++round)
            {
                // Aggregators are among them.
                for (std::size_t index = 0; index < third; ++index)
                    restarted.stop(index);
                restarted.run(seconds(2), 5.0);
                for (std::size_t index = 0; index < third; ++index)
                    restarted.restart(index);
                restarted.run(seconds(3), 5.0);
            }
            CHECK(restarted.largest_window() <= 1.0);

            allowance_fleet suspended(options);
            suspended.run(seconds(10), 0.0);
            suspended.run(seconds(5), usual);
            for (std::size_t index = 0; index < third; ++index)
                suspended.stop(index);
            suspended.run(seconds(5), usual);
            for (std::size_t index = 0; index < third; ++index)
                suspended.thaw(index);
            suspended.run(seconds(10), 10.0);
            CHECK(suspended.largest_window() <= 1.0);

            allowance_fleet leaderless(options);
            leaderless.run(seconds(10), 0.0);
            leaderless.run(seconds(5), 5.0);
            for (std::size_t index = 0; index < options.zones; ++index)
            {
                leaderless.stop(index);
                leaderless.run(seconds(3), 5.0);
            }
            CHECK(leaderless.largest_window() <= 1.0);
        });
}

// Guards against gateways that do not reach one another and take the same part twice.
TEST_CASE("gateways that are cut off keep to their parts")
{
    constexpr double cut_share = 0.35;
    for_each_medium_size(
        [&](const fleet_options& options)
        {
            for (const bool is_group : {false, true})
            {
                for (const double ratio : {usual, 5.0})
                {
                    CAPTURE(is_group);
                    CAPTURE(ratio);
                    allowance_fleet fleet(options);
                    fleet.run(seconds(10), 0.0);
                    fleet.run(seconds(8), ratio);
                    const auto cut = static_cast<std::size_t>(
                        cut_share * static_cast<double>(options.gateways));
                    for (std::size_t index = 0; index < cut; ++index)
                        fleet.set_group(index, is_group ? 1 : index + 1);
                    fleet.run(seconds(6), ratio);
                    // Callers ask for more while the fleet is in parts.
                    fleet.run(seconds(6), 10.0);
                    for (std::size_t index = 0; index < cut; ++index)
                        fleet.set_group(index, 0);
                    fleet.run(seconds(10), 10.0);
                    CHECK(fleet.largest_window() <= 1.0);
                }
            }
        });
}

// Guards against a lowered limit that is applied late, and against parts that are taken
// twice while gateways are added.
TEST_CASE("a lowered limit and added gateways keep within the allowance")
{
    for_each_medium_size(
        [](const fleet_options& options)
        {
            allowance_fleet lowered(options);
            lowered.run(seconds(10), 0.0);
            lowered.run(seconds(10), 5.0);
            const double low = options.per_s / 2.0;
            lowered.set_limit(low, low);
            const state::time_point begin = lowered.now;
            lowered.run(seconds(16), 5.0);
            CHECK(lowered.largest_window(low, low, begin) <= 1.0);
            CHECK(lowered.admitted_share(begin) >=
                  (has_small_parts(options) ? 0.5 : 0.8));

            allowance_fleet growing(options);
            growing.run(seconds(10), 0.0);
            growing.run(seconds(8), 5.0);
            for (std::size_t count = 0; count < options.gateways / 2; ++count)
            {
                growing.add_gateway();
                growing.run(milliseconds(200), 5.0);
            }
            growing.run(seconds(10), 5.0);
            CHECK(growing.largest_window() <= 1.0);
        });
}

// Guards against an allowance that is divided while the number of gateways is unknown,
// and against a gateway without others that refuses.
TEST_CASE("a gateway takes no part before it knows the others")
{
    state::team team;
    team.name = "t";
    team.allowance = {state::allowance_unit::requests, 10.0, 10.0, 0.0};
    team_allowances allowances;
    allowances.set_teams(start, {team});
    const auto tick_for = [&](seconds duration, state::time_point begin)
    {
        for (state::time_point now = begin; now < begin + duration; now += tick)
            allowances.set_others(now, {});
        return begin + duration;
    };
    state::time_point now = tick_for(seconds(2), start);
    const auto refused = allowances.admit(now, "t", 1.0, 0.5);
    CHECK_FALSE(refused.is_admitted);
    CHECK(refused.retry_after > milliseconds(0));
    allowances.set_is_list_read(true);
    now = tick_for(seconds(10), now);
    CHECK(allowances.admit(now, "t", 1.0, 0.5).is_admitted);
    CHECK(allowances.admit(now, "another", 1.0, 0.5).is_admitted);
    team.allowance.per_s = 0.0;
    allowances.set_teams(now, {team});
    for (int request = 0; request < 1000; ++request)
        CHECK(allowances.admit(now, "t", 1.0, 0.5).is_admitted);
}

// Guards against parts that are kept for good for gateways that ended, since the store
// goes on to list them.
TEST_CASE("a gateway that is listed and not alive keeps its part for a minute")
{
    team_allowances allowances;
    for (int second = 0; second < 200; ++second)
    {
        const state::time_point now = start + seconds(second);
        allowances.set_known(now,
                             {{"alive", true}, {"never", false}, {"ended", second < 50}});
        CAPTURE(second);
        const bool counts_never = second <= 60;
        const bool counts_ended = second <= 49 + 60;
        CHECK(allowances.known_gateways() ==
              2U + (counts_never ? 1U : 0U) + (counts_ended ? 1U : 0U));
    }
}

// Guards against a Retry-After that brings callers back before there is room.
TEST_CASE("a refused request finds room at the time that it is told")
{
    state::team team;
    team.name = "t";
    team.allowance = {state::allowance_unit::requests, 10.0, 10.0, 0.0};
    team_allowances allowances;
    allowances.set_is_list_read(true);
    allowances.set_teams(start, {team});
    state::time_point now = start;
    int refusals = 0;
    for (const state::time_point end = start + seconds(20); now < end; now += step)
    {
        if ((now - start) % tick == state::time_point::duration::zero())
            allowances.set_others(now, {});
        const auto decision = allowances.admit(now, "t", 1.0, 0.5);
        if (decision.is_admitted)
            continue;
        ++refusals;
        CHECK(decision.retry_after >= milliseconds(50));
        CHECK(decision.retry_after <= seconds(8));
    }
    CHECK(refusals > 0);
    const auto last = allowances.admit(now, "t", 1.0, 0.5);
    REQUIRE_FALSE(last.is_admitted);
    for (const state::time_point end = now + last.retry_after; now < end; now += tick)
        allowances.set_others(now, {});
    CHECK(allowances.admit(now, "t", 1.0, 0.5).is_admitted);
}

TEST_CASE("a request costs one, its tokens, or the tokens of a request without a count")
{
    state::team_allowance allowance{state::allowance_unit::requests, 1.0, 1.0, 200.0};
    CHECK(team_allowances::cost(allowance, true, 1540) == 1.0);
    allowance.unit = state::allowance_unit::tokens;
    CHECK(team_allowances::cost(allowance, true, 1540) == 1540.0);
    CHECK(team_allowances::cost(allowance, false, 0) == 200.0);
}
