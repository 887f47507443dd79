#include "placement_simulation.hpp"

#include <doctest/doctest.h>

using namespace placement_test; // NOLINT(google-build-using-namespace): test file
using protocol::order_step;

namespace
{

std::string model(const std::string& name, int bytes, const std::string& version = "1",
                  int copies = 1)
{
    return "\"" + name + "\":{\"bytes\":" + std::to_string(bytes) + ",\"version\":\"" +
           version + "\",\"attributes\":{\"min_copies\":" + std::to_string(copies) + "}}";
}

std::string tree_of(const std::string& models, int snapshot_records = 1000000)
{
    return R"({"attributes":{"lease_renew_ms":500,"lease_duration_ms":2000,)"
           R"("late_order_margin_ms":1000,"kv_reserve_percent":20,"snapshot_records":)" +
           std::to_string(snapshot_records) +
           R"(},"store":{"loads_per_s":20},)"
           R"("places":{"r":{"zones":{"z1":{},"z2":{},"z3":{}}}},)"
           R"("services":{"s":{"models":{)" +
           models + "}}}}";
}

constexpr milliseconds limit{60000};

} // namespace

// Guards against the memory of an order that a paused holder has not yet sent being given
// away by its successor: the thawed holder's order then overcommits the engine. On an
// engine that checks tokens the danger is the time before the successor's first order, on
// one that ignores them it lasts until the old process is dead; so the pause is swept.
TEST_CASE("a holder frozen between decision and sending finds its memory reserved")
{
    for (const bool checks_fence : {true, false})
    {
        for (int pause_ms = 0; pause_ms <= 7000; pause_ms += 50)
        {
            CAPTURE(checks_fence);
            CAPTURE(pause_ms);
            simulation world(static_cast<std::uint64_t>(pause_ms) + 1,
                             tree_of(model("a", 30)), 2);
            world.add_engine("z1", checks_fence);
            REQUIRE(world.run_until([&] { return world.ready_copies("a", "1") == 1; },
                                    limit));
            world.run_for(milliseconds(1000));
            model_node* first = world.holder();
            REQUIRE(first != nullptr);
            world.freeze_on_send = true;
            world.set_tree(tree_of(model("a", 30) + "," + model("x", 40)));
            REQUIRE(world.run_until([&] { return first->frozen; }, limit));
            world.set_tree(tree_of(model("a", 30) + "," + model("y", 45)));
            world.run_for(milliseconds(pause_ms));
            world.thaw(first->rank);
            world.run_for(milliseconds(8000));
            CHECK(world.overcommitted().empty());
        }
    }
}
