#include "fleet_replay.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using state::milliseconds;
using state::seconds;
using test::fleet_options;
using test::fleet_replay;
using test::fleet_result;

constexpr int candidate_models = 30;
constexpr std::size_t busy_at_once = 12;
constexpr double busy_share = 0.87;
constexpr double skew = 0.4;
constexpr std::uint64_t seed_count = 3;

/// Fleet whose planner sees demand that is half a second old, and whose refused callers
/// come back once in half of the cases.
fleet_options shifting_fleet(std::uint64_t seed)
{
    fleet_options options;
    options.models = 111;
    options.engine_tokens_per_s = 20400.0;
    options.load = 0.49;
    options.tokens_per_request = 2100.0;
    options.longest_wait_s = 0.8;
    options.returning_share = 0.5;
    options.report_age = milliseconds(500);
    options.adapter_share = 0.2;
    options.popularity_exponent = 1.2;
    options.seed = seed;
    return options;
}

/// Demand of which a few models, drawn from a part of all, get most.
std::vector<double> draw_demand(std::mt19937_64& random, int models)
{
    std::vector<std::size_t> order(candidate_models);
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), random);
    std::vector<double> weights(static_cast<std::size_t>(models), 0.0);
    const auto add = [&weights](const std::vector<std::size_t>& numbers, double share)
    {
        double total = 0.0;
        for (std::size_t rank = 0; rank < numbers.size(); ++rank)
            total += std::pow(static_cast<double>(rank) + 1.0, -skew);
        for (std::size_t rank = 0; rank < numbers.size(); ++rank)
            weights[numbers[rank]] +=
                share * std::pow(static_cast<double>(rank) + 1.0, -skew) / total;
    };
    order.resize(busy_at_once);
    add(order, busy_share);
    std::vector<std::size_t> others(static_cast<std::size_t>(models - candidate_models));
    std::iota(others.begin(), others.end(), candidate_models);
    add(others, 1.0 - busy_share);
    return weights;
}

} // namespace

// Guards against loads for every passing shift: a load takes 9 s, in which the memory
// serves nobody, and the models that lose copies are in demand again when it ends.
TEST_CASE("shifts of demand that pass cost few loads and few requests")
{
    double asked = 0.0;
    double served = 0.0;
    int loads = 0;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        const fleet_options options = shifting_fleet(seed);
        fleet_replay fleet(options);
        std::mt19937_64 random(seed);
        const std::vector<double> usual = draw_demand(random, options.models);
        fleet.set_weights(usual);
        fleet.run(seconds(25));
        fleet.take_result();
        for (int shift = 0; shift < 3; ++shift)
        {
            fleet.set_weights(draw_demand(random, options.models));
            fleet.run(seconds(7));
            fleet.set_weights(usual);
            fleet.run(seconds(5));
        }
        const fleet_result result = fleet.take_result();
        MESSAGE("seed ", seed, ": served ", result.served_share(), ", loads ",
                result.store_loads);
        asked += result.asked_tokens;
        served += result.served_tokens;
        loads += result.store_loads;
    }
    CHECK(served / asked > 0.92);
    CHECK(loads <= 90 * static_cast<int>(seed_count));
}

// Guards against a limit on loads that delays the copies of a model whose engines are
// overloaded for good.
TEST_CASE("a model to which much of the demand moves gets its copies in one load time")
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        CAPTURE(seed);
        fleet_options options = shifting_fleet(seed);
        options.popularity_exponent = 1.0;
        fleet_replay fleet(options);
        fleet.run(seconds(12));
        fleet.take_result();
        constexpr std::size_t model = 70;
        std::vector<double> weights(static_cast<std::size_t>(options.models));
        for (std::size_t i = 0; i < weights.size(); ++i)
            weights[i] = 0.65 / (static_cast<double>(i) + 1.0) / 5.29;
        weights[model] = 0.35;
        fleet.set_weights(weights);
        fleet.run(seconds(11));
        MESSAGE("seed ", seed, ": copies ", fleet.copies(model));
        // Ten engines at full load can read the demand.
        CHECK(fleet.copies(model) >= 8);
        fleet.run(seconds(2));
        CHECK(fleet.copies(model) >= 12);
        fleet.take_result();
        fleet.run(seconds(5));
        CHECK(fleet.take_result().served_share() > 0.98);
    }
}
