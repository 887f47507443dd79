#include "coordination/held_sizes.hpp"
#include "coordination/weight_planner.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::held_sizes;
using state::seconds;
using state::time_point;

struct model_size
{
    const char* name;
    double weight_mb;
    double adapter_mb = 10.0;
};

held_sizes::profile_ptr profile_of(const std::vector<model_size>& sizes)
{
    auto profile = std::make_shared<state::engine_profile>();
    profile->weight_mb = 230.0;
    for (const model_size& size : sizes)
    {
        state::hosted_model model;
        model.name = size.name;
        model.weight_mb = size.weight_mb;
        model.adapter_mb = size.adapter_mb;
        profile->models.push_back(model);
    }
    return profile;
}

const held_sizes::profile_ptr first = profile_of({{"m1", 100.0}, {"m2", 50.0}});
const held_sizes::profile_ptr smaller = profile_of({{"m1", 60.0}, {"m2", 50.0}});
const held_sizes::profile_ptr smaller_adapters =
    profile_of({{"m1", 100.0, 5.0}, {"m2", 50.0}});
const held_sizes::profile_ptr larger = profile_of({{"m1", 150.0}, {"m2", 50.0}});
const held_sizes::profile_ptr without_m1 = profile_of({{"m2", 50.0}});
const held_sizes::profile_ptr other_service = profile_of({{"m3", 30.0}});
const std::vector<state::loaded_model> with_m1{{"m1", 1, {}}};
const std::vector<state::loaded_model> empty;

time_point at(int s)
{
    return time_point(std::chrono::hours(1)) + seconds(s);
}

struct history
{
    held_sizes sizes;

    void observe(int s, const held_sizes::profile_ptr& profile,
                 const std::vector<state::loaded_model>& models,
                 std::int64_t incarnation = 1)
    {
        this->sizes.observe(at(s), "e1", incarnation, models, profile);
        this->sizes.forget_old(at(s));
    }

    /// Returns the remembered size of m1, or 0.
    coordination::weight_size m1() const
    {
        const auto found = this->sizes.sizes_of("e1");
        const auto item = found.find("m1");
        return item == found.end() ? coordination::weight_size{} : item->second;
    }
};

} // namespace

// Guards against orders beyond the memory of engines after a change of the configuration,
// and against memory that stays unused for good.
TEST_CASE("a model keeps the size with which it was loaded")
{
    struct row
    {
        const char* name;
        void (*play)(history&);
        coordination::weight_size m1;
    };
    const std::vector<row> rows{
        {"nothing changes",
         [](history& h)
         {
             h.observe(0, first, with_m1);
             h.observe(1, first, with_m1);
         },
         {}},
        {"retired",
         [](history& h)
         {
             h.observe(0, first, with_m1);
             h.observe(1, without_m1, with_m1);
             h.observe(1000, without_m1, with_m1);
         },
         {100.0, 10.0}},
        {"retired before this process started",
         [](history& h) { h.observe(0, without_m1, with_m1); },
         {}},
        {"smaller, twice",
         [](history& h)
         {
             h.observe(0, first, with_m1);
             h.observe(1, smaller, with_m1);
             h.observe(2, without_m1, with_m1);
         },
         {100.0, 10.0}},
        {"smaller adapters",
         [](history& h)
         {
             h.observe(0, first, with_m1);
             h.observe(1, smaller_adapters, with_m1);
         },
         {100.0, 10.0}},
        {"larger, for which the configuration says the size",
         [](history& h)
         {
             h.observe(0, first, with_m1);
             h.observe(1, larger, with_m1);
         },
         {}},
        {"the service of the engine changes",
         [](history& h)
         {
             h.observe(0, first, with_m1);
             h.observe(1, other_service, with_m1);
         },
         {100.0, 10.0}},
        {"the service is gone for a while",
         [](history& h)
         {
             h.observe(0, first, with_m1);
             h.observe(1, nullptr, with_m1);
             h.observe(100, nullptr, with_m1);
             h.observe(200, without_m1, with_m1);
         },
         {100.0, 10.0}},
        {"loaded when the change came",
         [](history& h)
         {
             h.observe(0, first, empty);
             h.observe(1, smaller, empty);
             h.observe(10, smaller, with_m1);
         },
         {100.0, 10.0}},
        {"loaded long after the change",
         [](history& h)
         {
             h.observe(0, first, empty);
             h.observe(1, smaller, empty);
             h.observe(70, smaller, with_m1);
         },
         {}},
        {"loaded anew by an order of this process",
         [](history& h)
         {
             h.observe(0, first, with_m1);
             h.observe(1, smaller, with_m1);
             h.observe(2, smaller, empty);
             h.sizes.on_load(at(3), "e1", "m1", {60.0, 10.0});
             h.observe(13, smaller, with_m1);
         },
         {60.0, 10.0}},
        {"retired during a load that this process ordered",
         [](history& h)
         {
             h.observe(0, first, empty);
             h.sizes.on_load(at(1), "e1", "m1", {100.0, 10.0});
             h.observe(2, without_m1, empty);
             h.observe(10, without_m1, with_m1);
         },
         {100.0, 10.0}},
        {"missing from a report",
         [](history& h)
         {
             h.observe(0, first, with_m1);
             h.observe(1, smaller, with_m1);
             h.observe(2, smaller, empty);
             h.observe(3, smaller, with_m1);
         },
         {100.0, 10.0}},
        {"unloaded for a long time",
         [](history& h)
         {
             h.observe(0, first, with_m1);
             h.observe(1, smaller, with_m1);
             h.observe(30, smaller, empty);
             h.observe(70, smaller, empty);
         },
         {}},
        {"a new process of the engine",
         [](history& h)
         {
             h.observe(0, first, with_m1);
             h.observe(1, smaller, with_m1);
             h.observe(70, smaller, with_m1, 2);
         },
         {}},
        {"the engine was gone for a long time",
         [](history& h)
         {
             h.observe(0, first, with_m1);
             h.observe(1, smaller, with_m1);
             h.sizes.forget_old(at(70));
             h.observe(71, smaller, with_m1);
         },
         {}},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        history played;
        item.play(played);
        CHECK(played.m1().weight_mb == item.m1.weight_mb);
        CHECK(played.m1().adapter_mb == item.m1.adapter_mb);
    }
}

// Guards against a planner that goes by the size in the configuration alone.
TEST_CASE("remembered sizes limit what an engine is ordered to load")
{
    struct row
    {
        const char* name;
        held_sizes::profile_ptr profile;
        held_sizes::size_map sizes;
        std::size_t orders;
    };
    const auto two = profile_of({{"m1", 100.0}, {"m4", 120.0}});
    const std::vector<row> rows{
        {"the size of the configuration leaves room", two, {}, 1},
        {"a larger size does not", two, {{"m1", {120.0, 0.0}}}, 0},
        {"a smaller one changes nothing", two, {{"m1", {1.0, 0.0}}}, 1},
        {"larger in the configuration",
         profile_of({{"m1", 120.0}, {"m4", 120.0}}),
         {{"m1", {100.0, 0.0}}},
         0},
        {"larger adapters", two, {{"m1", {100.0, 11.0}}}, 0},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        auto profile = std::make_shared<state::engine_profile>(*item.profile);
        profile->models[0].adapters = {"a1"};
        profile->adapter_slots = 1;
        coordination::planned_engine engine;
        engine.id = "e1";
        engine.models = {{"m1", 1, {"a1"}}};
        engine.sizes = item.sizes;
        const auto orders = coordination::weight_planner().plan(
            *profile, {engine}, "models", {}, {}, 10, true);
        CHECK(orders.size() == item.orders);
    }
}
