#include "coordination/placement.hpp"
#include "coordination/replica_choice.hpp"

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::model_key;
using coordination::placement_engine;
using coordination::placement_step;

state::settings tree_of(const std::string& models)
{
    return state::resolve_settings(
        boost::json::parse(
            R"({"store":{"loads_per_s":100},"places":{"r":{"zones":{"z1":{},"z2":{}}}},)"
            R"("services":{"s":{"models":{)" +
            models + "}}}}"),
        "test");
}

/// Returns an engine with a limit of 100 bytes and ready models of 40 bytes each, given
/// as `name:version`.
placement_engine engine(const std::string& id, const std::string& zone,
                        const std::vector<std::string>& ready_models)
{
    placement_engine result;
    result.id = id;
    result.zone = zone;
    result.usable = true;
    result.limit_bytes = 100;
    result.tokens_per_s = 1000.0;
    for (const std::string& item : ready_models)
    {
        const model_key key{item.substr(0, item.find(':')),
                            item.substr(item.find(':') + 1), ""};
        result.ready.insert(key);
        result.reserved[key] = 40;
    }
    return result;
}

std::string text_of(const std::vector<placement_step>& steps)
{
    std::string result;
    for (const placement_step& step : steps)
    {
        result += std::string(to_string(step.step)) + " " + step.key.model + ":" +
                  step.key.version + step.key.adapter + " " + step.engine + "; ";
    }
    return result;
}

} // namespace

// Guards against plans that violate a placement rule; each row names the rule.
TEST_CASE("plans for small fleets follow the placement rules")
{
    struct row
    {
        const char* rule;
        std::string models;
        std::vector<placement_engine> engines;
        std::string expected;
    };
    const std::string two = R"("m":{"bytes":40,"attributes":{"min_copies":2}})";
    const std::string next =
        R"("m":{"bytes":40,"version":"2","attributes":{"min_copies":1}})";
    const std::string both = R"("m":{"bytes":40,"attributes":{"min_copies":1}},)"
                             R"("n":{"bytes":40,"attributes":{"min_copies":1}})";
    const row rows[] = {
        {"copies go to different zones",
         two,
         {engine("a", "z1", {}), engine("b", "z1", {}), engine("c", "z2", {})},
         "load m:1 a; load m:1 c; "},
        {"nothing changes when all copies are in place",
         two,
         {engine("a", "z1", {"m:1"}), engine("b", "z2", {"m:1"})},
         ""},
        {"the new version is loaded beside the old",
         next,
         {engine("a", "z1", {"m:1"})},
         "load m:2 a; "},
        {"the old version is unloaded when the new one is ready",
         next,
         {engine("a", "z1", {"m:1", "m:2"})},
         "unload m:1 a; "},
        {"the only copy of the old version stays when nothing else fits",
         next,
         {engine("a", "z1", {"m:1", "x:1"})},
         "unload x:1 a; "},
        {"a missing model displaces an additional copy, never the last one",
         both,
         {engine("a", "z1", {"m:1", "q:1"}), engine("b", "z2", {"m:1", "m:0"})},
         "unload q:1 a; unload m:0 b; "},
        {"nothing is loaded before the token is acknowledged",
         two,
         {[]
          {
              auto e = engine("a", "z1", {});
              e.awaiting_fence = true;
              return e;
          }()},
         ""},
        {"a copy on a leaving engine is replaced",
         two,
         {[]
          {
              auto e = engine("a", "z1", {"m:1"});
              e.leaving = true;
              return e;
          }(),
          engine("b", "z2", {"m:1"}), engine("c", "z1", {})},
         "load m:1 c; "},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.rule);
        const state::settings tree = tree_of(item.models);
        coordination::placement planner;
        coordination::placement_input input{&tree, item.engines, {}};
        CHECK(text_of(planner.plan(state::time_point{}, input)) == item.expected);
    }
}

// Guards against models that move with every short change in demand, and against copies
// kept for past demand although another model needs the memory for longer.
TEST_CASE("copies are added at once and removed only after a delay")
{
    const state::settings tree =
        tree_of(R"("m":{"bytes":40,"attributes":{"min_copies":1}},)"
                R"("n":{"bytes":40,"attributes":{"min_copies":1}})");
    coordination::placement planner;
    coordination::placement_input input{&tree,
                                        {engine("a", "z1", {"m:1", "n:1"}),
                                         engine("b", "z2", {}),
                                         engine("c", "z2", {"x:1"})},
                                        {}};
    input.engines[2].limit_bytes = 0;
    input.engines[1].limit_bytes = 60;
    input.demand[{"m", ""}].tokens_per_s = 900.0;
    const state::time_point start{};
    CHECK(text_of(planner.plan(start, input)) == "load m:1 b; unload x:1 c; ");
    input.engines[1] = engine("b", "z2", {"m:1"});
    input.engines[1].limit_bytes = 60;
    input.engines.pop_back();
    input.demand.clear();
    input.demand[{"n", ""}].tokens_per_s = 900.0;
    CHECK(text_of(planner.plan(start + state::seconds(30), input)).empty());
    CHECK(text_of(planner.plan(start + state::seconds(600), input)) == "unload m:1 b; ");
}

// Guards against a version change that sends requests to a copy that is still loading, or
// never switches them from the old version.
TEST_CASE("replicas have the version in the settings once a copy of it is ready")
{
    const state::settings tree = tree_of(R"("m":{"bytes":40,"version":"2"})");
    const std::vector<state::resident_model> old{{"m", "1", "", 40, true}};
    const std::vector<state::resident_model> loading{{"m", "1", "", 40, true},
                                                     {"m", "2", "", 40, false}};
    const std::vector<state::resident_model> current{{"m", "2", "", 40, true}};
    using replicas = std::vector<std::uint32_t>;
    const auto choose = [&](const std::vector<coordination::engine_content>& engines)
    {
        state::model_view view;
        view.settings = tree.find_model("s", "m");
        coordination::choose_replicas(engines, view);
        return view.replicas.engines;
    };
    CHECK(choose({{0, false, &old}, {1, false, &loading}}) == replicas{0, 1});
    CHECK(choose({{0, false, &old}, {1, false, &current}}) == replicas{1});
    CHECK(choose({{0, false, &old}, {1, true, &current}}) == replicas{0});
}
