#include "coordination/weight_planner.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::planned_engine;
using coordination::planned_order;
using coordination::weight_demand;

constexpr double engine_mb = 230000.0;
constexpr double model_mb = 72700.0;
constexpr double adapter_mb = 1000.0;

/// The models m1 to m4 are offered, m1 with the adapters a1 and a2.
state::engine_profile test_profile()
{
    state::engine_profile profile;
    profile.weight_mb = engine_mb;
    profile.adapter_slots = 3;
    profile.loads_per_s = 10.0;
    for (const char* const name : {"m1", "m2", "m3", "m4"})
    {
        state::hosted_model model;
        model.name = name;
        model.weight_mb = model_mb;
        model.adapter_mb = adapter_mb;
        model.store_load = state::seconds(9);
        profile.models.push_back(model);
    }
    profile.models[0].adapters = {"a1", "a2"};
    return profile;
}

std::vector<planned_order> plan(const state::engine_profile& profile,
                                const std::vector<state::loaded_model>& models,
                                const weight_demand::rates& demand = {},
                                const std::string& reserved = "")
{
    planned_engine engine;
    engine.id = "e1";
    engine.models = models;
    engine.reserved = reserved;
    return coordination::weight_planner().plan(profile, {engine}, "models", demand, {},
                                               10, true);
}

std::string text_of(const std::vector<planned_order>& orders)
{
    std::string text;
    for (const planned_order& order : orders)
    {
        text += text.empty() ? "" : " ";
        text += std::string(to_string(order.operation)) + ":" + order.model +
                (order.adapter.empty() ? "" : "/" + order.adapter);
    }
    return text;
}

} // namespace

// Guards against an order to load beyond the memory of an engine, which then crashes,
// because it holds weights that the configuration no longer lists.
TEST_CASE("weights that are no longer listed take memory until they are unloaded")
{
    struct row
    {
        const char* name;
        std::vector<state::loaded_model> models;
        std::string reserved;
        weight_demand::rates demand;
        const char* orders;
    };
    const weight_demand::rates waiting_for_m4{
        {{"models", "m4", ""}, {1.0, 1000.0, 1000.0, 1}}};
    const weight_demand::rates waiting_for_a9{
        {{"models", "m1", "a9"}, {1.0, 1000.0, 1000.0, 1}}};
    const std::vector<row> rows{
        {"nothing is retired",
         {{"m1", 1, {"a1", "a2"}}, {"m2", 1, {}}},
         "",
         waiting_for_m4,
         "load_model:m4"},
        {"full engine",
         {{"m1", 1, {"a1", "a2"}}, {"m2", 1, {}}, {"old", 1, {}}},
         "",
         waiting_for_m4,
         "unload_model:old"},
        {"only the retired model",
         {{"old", 1, {}}},
         "",
         waiting_for_m4,
         "unload_model:old"},
        {"two retired models, one order at a time",
         {{"old", 1, {}}, {"older", 1, {}}, {"m2", 1, {}}},
         "",
         waiting_for_m4,
         "unload_model:old"},
        {"memory was freed for a model before",
         {{"m1", 1, {"a1", "a2"}}, {"old", 1, {}}},
         "m4",
         waiting_for_m4,
         "unload_model:old"},
        {"retired model with adapters, while an adapter could be loaded",
         {{"m1", 1, {}}, {"old", 1, {"a1", "a2"}}},
         "",
         {},
         "unload_model:old"},
        {"retired adapter",
         {{"m1", 1, {"a1", "a2", "a9"}}, {"m2", 1, {}}, {"m3", 1, {}}},
         "",
         {},
         "unload_adapter:m1/a9"},
        {"requests for a retired adapter",
         {{"m1", 1, {"a1", "a2"}}, {"m2", 1, {}}, {"m3", 1, {}}},
         "",
         waiting_for_a9,
         ""},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        CHECK(text_of(plan(test_profile(), item.models, item.demand, item.reserved)) ==
              item.orders);
    }
}

// Guards against adapters that are loaded beyond the memory of an engine.
TEST_CASE("an adapter is loaded only into free memory")
{
    state::engine_profile profile = test_profile();
    const std::vector<state::loaded_model> models{
        {"m1", 1, {}}, {"m2", 1, {}}, {"m3", 1, {}}};
    CHECK(text_of(plan(profile, models)) == "load_adapter:m1/a1");
    profile.weight_mb = 3 * model_mb + adapter_mb / 2;
    CHECK(text_of(plan(profile, models)).empty());
    const weight_demand::rates waiting{
        {{"models", "m1", "a1"}, {1.0, 1000.0, 1000.0, 1}}};
    CHECK(text_of(plan(profile, models, waiting)).empty());
    // Another adapter gives way, which is in less demand.
    profile.weight_mb = 3 * model_mb + adapter_mb;
    CHECK(text_of(plan(profile, {{"m1", 1, {"a2"}}, {"m2", 1, {}}, {"m3", 1, {}}},
                       waiting)) == "unload_adapter:m1/a2");
}
