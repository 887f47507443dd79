#include "coordination/demand_spread.hpp"
#include "fleet_replay.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::plan_operation;
using coordination::planned_engine;
using coordination::planned_order;
using coordination::weight_demand;
using state::seconds;
using test::fleet_options;
using test::fleet_replay;
using test::fleet_result;

constexpr double model_mb = 70000.0;

state::engine_profile small_profile(int models, int models_per_engine)
{
    state::engine_profile profile;
    profile.weight_mb = model_mb * models_per_engine + 1000.0;
    profile.adapter_slots = 2;
    profile.loads_per_s = 2.0;
    for (int number = 0; number < models; ++number)
    {
        state::hosted_model model;
        model.name = fleet_replay::model_name(number);
        model.weight_mb = model_mb;
        model.adapter_mb = 60.0;
        model.store_load = seconds(9);
        profile.models.push_back(model);
    }
    return profile;
}

planned_engine engine_with(const std::string& id, std::vector<state::loaded_model> models)
{
    planned_engine engine;
    engine.id = id;
    engine.models = std::move(models);
    return engine;
}

std::vector<planned_order> plan(const state::engine_profile& profile,
                                const std::vector<planned_engine>& engines,
                                const weight_demand::rates& demand, int store_loads = 2)
{
    const coordination::weight_planner planner;
    return planner.plan(profile, engines, "models", demand, {}, store_loads, true);
}

std::string first_loaded(const std::vector<planned_order>& orders)
{
    const auto load =
        std::find_if(orders.begin(), orders.end(),
                     [](const planned_order& order)
                     { return order.operation == plan_operation::load_model; });
    return load == orders.end() ? "" : load->model;
}

} // namespace

// Guards against hot models that share an engine with other hot ones, and against copies
// that follow the noise of the demand.
TEST_CASE("steady demand loads all engines about equally and causes few loads")
{
    for (const double load : {0.55, 0.8})
    {
        CAPTURE(load);
        fleet_options options;
        options.load = load;
        fleet_replay fleet(options);
        fleet.run(seconds(20));
        CHECK(fleet.take_result().served_share() > 0.98);
        fleet.run(seconds(20));
        const fleet_result result = fleet.take_result();
        CHECK(result.served_share() > 0.99);
        CHECK(result.busiest_to_mean < 1.5);
        // One load in four seconds over 60 engines.
        CHECK(result.store_loads <= 5);
    }
}

// Guards against a slow answer to a shift of demand, and against a flood of loads after
// it.
TEST_CASE("copies follow a shift of demand to other models")
{
    fleet_options options;
    options.engines = 140;
    options.models = 171;
    options.loads_per_s = 21.0;
    fleet_replay fleet(options);
    fleet.run(seconds(15));
    fleet.take_result();
    fleet.shift_popularity(80);
    fleet.run(seconds(20));
    // A load takes 9 s, in which only the few copies of the models serve them.
    CHECK(fleet.take_result().served_share() > 0.8);
    fleet.run(seconds(10));
    const fleet_result result = fleet.take_result();
    CHECK(result.served_share() > 0.99);
    CHECK(result.store_loads <= 20);
}

// Guards against slow engines that keep as many busy models as others, and against
// engines that stay empty after a restart.
TEST_CASE("slow engines give models away and empty engines get them")
{
    double asked = 0.0;
    double served = 0.0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        CAPTURE(seed);
        fleet_options options;
        options.seed = seed;
        fleet_replay fleet(options);
        fleet.run(seconds(10));
        fleet.take_result();
        for (int engine = 0; engine < 12; ++engine)
            fleet.set_speed(engine, 0.3);
        fleet.run(seconds(20));
        CHECK(fleet.take_result().served_share() > 0.98);
        for (int engine = 12; engine < 24; ++engine)
            fleet.restart_engine(engine, true);
        // The only copies of models take 9 s to load again.
        fleet.run(seconds(10));
        fleet.take_result();
        fleet.run(seconds(10));
        const fleet_result result = fleet.take_result();
        asked += result.asked_tokens;
        served += result.served_tokens;
    }
    CHECK(served / asked > 0.9);
}

// Guards against reserve copies that replace those of models that the operator expects to
// be busy, in fleets with adapters for all models.
TEST_CASE("reserve copies leave the busy models in place before there is traffic")
{
    fleet_options options;
    options.load = 0.0;
    fleet_replay fleet(options);
    const int before = fleet.copies(0);
    REQUIRE(before >= 10);
    fleet.run(seconds(14));
    CHECK(fleet.copies(0) >= before * 2 / 3);
}

// Guards against a plan that sees only what arrives: what waits for capacity has to be
// worked off as well.
TEST_CASE("a model with waiting requests is copied before one with equal demand")
{
    const state::engine_profile profile = small_profile(3, 1);
    const std::vector<planned_engine> engines{
        engine_with("e0", {{"m0", 1, {}}}), engine_with("e1", {{"m1", 1, {}}}),
        engine_with("e2", {{"m2", 1, {}}}), engine_with("e3", {})};
    weight_demand::rates demand;
    for (int number = 0; number < 3; ++number)
        demand[{"models", fleet_replay::model_name(number), ""}] = {5.0, 10000.0, 10000.0,
                                                                    0, 0};
    demand[{"models", "m1", ""}].queued_tokens = 10000;
    CHECK(first_loaded(plan(profile, engines, demand)) == "m1");
}

// Guards against copies that are ready only after the crest: a load takes seconds, in
// which steep growth goes on.
TEST_CASE("a model whose demand grows steeply is copied before one with equal demand")
{
    const state::engine_profile profile = small_profile(3, 1);
    const std::vector<planned_engine> engines{
        engine_with("e0", {{"m0", 1, {}}}), engine_with("e1", {{"m1", 1, {}}}),
        engine_with("e2", {{"m2", 1, {}}}), engine_with("e3", {})};
    weight_demand::rates demand;
    demand[{"models", "m0", ""}] = {25.0, 10000.0, 10000.0, 0, 0};
    demand[{"models", "m1", ""}] = {25.0, 10000.0, 2000.0, 0, 0};
    demand[{"models", "m2", ""}] = {25.0, 10000.0, 10000.0, 0, 0};
    CHECK(first_loaded(plan(profile, engines, demand)) == "m1");
    // A single request more than usual is chance.
    demand[{"models", "m1", ""}] = {0.8, 10000.0, 8000.0, 0, 0};
    demand[{"models", "m0", ""}] = {25.0, 11000.0, 11000.0, 0, 0};
    CHECK(first_loaded(plan(profile, engines, demand)) != "m1");
}

// Guards against engines that free memory for a model that many others are about to load
// already, and wait for the weight store.
TEST_CASE("memory is freed only for as many loads as the weight store allows")
{
    const state::engine_profile profile = small_profile(2, 1);
    std::vector<planned_engine> engines{engine_with("e0", {{"m0", 1, {}}})};
    for (int number = 1; number < 20; ++number)
        engines.push_back(engine_with("e" + std::to_string(number), {{"m1", 1, {}}}));
    const weight_demand::rates demand{
        {{"models", "m0", ""}, {50.0, 100000.0, 100000.0, 0, 0}}};
    const auto orders = plan(profile, engines, demand, 2);
    CHECK(orders.size() >= 1);
    // Two loads at once, and two more until memory is free.
    CHECK(orders.size() <= 4);
    for (const planned_order& order : orders)
    {
        const auto engine = std::find_if(engines.begin(), engines.end(),
                                         [&order](const planned_engine& item)
                                         { return item.id == order.engine; });
        engine->models.clear();
        engine->is_busy = true;
        engine->reserved = order.room_for;
    }
    CHECK(plan(profile, engines, demand, 2).empty());
}

// Guards against a hot adapter whose only engine is a bottleneck while others with its
// model idle, and against a freed slot that is filled with another adapter.
TEST_CASE("a busy adapter is copied into the slot that was freed for it")
{
    state::engine_profile profile = small_profile(1, 1);
    profile.models[0].adapters = {"a0", "a1", "a2"};
    std::vector<planned_engine> engines{engine_with("e0", {{"m0", 1, {"a0", "a1"}}}),
                                        engine_with("e1", {{"m0", 1, {"a1", "a2"}}})};
    const weight_demand::rates demand{
        {{"models", "m0", "a0"}, {10.0, 16000.0, 16000.0, 0, 0}},
        {{"models", "m0", "a1"}, {0.1, 200.0, 200.0, 0, 0}},
        {{"models", "m0", "a2"}, {0.5, 1000.0, 1000.0, 0, 0}}};
    const auto unloads = plan(profile, engines, demand);
    REQUIRE(unloads.size() == 1);
    CHECK(unloads[0].operation == plan_operation::unload_adapter);
    CHECK(unloads[0].engine == "e1");
    // The adapter with another copy goes first.
    CHECK(unloads[0].adapter == "a1");
    CHECK(unloads[0].room_for == "m0/a0");
    engines[1].models[0].adapters = {"a2"};
    engines[1].reserved_adapter = "m0/a0";
    engines[1].is_busy = true;
    CHECK(plan(profile, engines, demand).empty());
    engines[1].is_busy = false;
    const auto loads = plan(profile, engines, demand);
    REQUIRE(loads.size() == 1);
    CHECK(loads[0].operation == plan_operation::load_adapter);
    CHECK(loads[0].engine == "e1");
    CHECK(loads[0].adapter == "a0");
}

// Guards against estimates that put more load on an engine than its share.
TEST_CASE("demand spreads over the engines with the least load, by their speed")
{
    coordination::internal::demand_spread spread({10.0, 10.0, 30.0});
    const std::size_t bound = spread.add_flow(8.0, {0});
    const std::size_t free_flow = spread.add_flow(16.0, {0, 1, 2});
    spread.balance();
    CHECK(spread.load(0) == doctest::Approx(0.8));
    CHECK(spread.load(1) == doctest::Approx(0.4));
    CHECK(spread.load(2) == doctest::Approx(0.4));
    CHECK(spread.level(bound) == doctest::Approx(0.8));
    CHECK(spread.level(free_flow) == doctest::Approx(0.4));
    CHECK(spread.share(free_flow, 0) == doctest::Approx(0.0));
    spread.remove_engine(free_flow, 2);
    CHECK(spread.load(1) == doctest::Approx(1.2));
    CHECK(spread.load(2) == doctest::Approx(0.0));
    spread.add_engine(bound, 2);
    CHECK(spread.load(2) > 0.0);
}
