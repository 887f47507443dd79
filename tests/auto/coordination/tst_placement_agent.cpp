#include "placement_simulation.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>

using namespace placement_test; // NOLINT(google-build-using-namespace): test file

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

// Guards against a successor that assigns the memory of an order which a paused holder
// has decided but not yet sent: when the holder resumes, its order overcommits the
// engine. On an engine that checks tokens this can happen until the successor's first
// order, on one that ignores them until the old process has ended. The test therefore
// varies the pause.
TEST_CASE("the memory of an order stays reserved if its holder freezes before sending")
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

// Guards against a late order that overcommits an engine: the order was closed because
// the engine rejects its token, and then reaches a new process of the engine, which has
// no token yet, in addition to the loads of the successor.
TEST_CASE("a late order does not overcommit a restarted engine that checks tokens")
{
    for (int late_ms = 0; late_ms <= 1500; late_ms += 10)
    {
        CAPTURE(late_ms);
        simulation world(static_cast<std::uint64_t>(late_ms) + 1, tree_of(model("a", 30)),
                         2);
        world.add_engine("z1", true);
        REQUIRE(
            world.run_until([&] { return world.ready_copies("a", "1") == 1; }, limit));
        world.run_for(milliseconds(1000));
        model_node* first = world.holder();
        REQUIRE(first != nullptr);
        world.freeze_on_send = true;
        world.set_tree(tree_of(model("a", 30) + "," + model("x", 40)));
        REQUIRE(world.run_until([&] { return first->frozen; }, limit));
        world.set_tree(tree_of(model("a", 30) + "," + model("y", 45)));
        REQUIRE(
            world.run_until([&] { return world.ready_copies("y", "1") == 1; }, limit));
        world.run_for(milliseconds(1000));
        world.restart_engine(0);
        world.run_for(milliseconds(late_ms));
        world.thaw(first->rank);
        CHECK(world.run_until(
            [&] {
                return world.ready_copies("a", "1") == 1 &&
                       world.ready_copies("y", "1") == 1;
            },
            limit));
        CHECK(world.overcommitted().empty());
    }
}

// Guards against two nodes that both act as the holder after simultaneous claims, and
// against none that does.
TEST_CASE("after simultaneous claims exactly one node is the holder")
{
    constexpr std::size_t races = 50;
    std::size_t claims = 0;
    for (std::uint64_t seed = 1; seed <= races; ++seed)
    {
        CAPTURE(seed);
        simulation world(seed, tree_of(model("a", 30)), 3);
        world.all_have_first_rank = true;
        world.faults.lost_append_response = 0.3;
        world.add_engine("z1", true);
        CHECK(world.run_until([&] { return world.ready_copies("a", "1") == 1; }, limit));
        world.run_for(milliseconds(1000));
        const auto holders = std::count_if(world.nodes.begin(), world.nodes.end(),
                                           [](const auto& node)
                                           { return node->agent.lease().is_holder(); });
        CHECK(holders == 1);
        for (const std::string& record : world.log.records)
            claims += record.find("lease_claim") == std::string::npos ? 0 : 1;
    }
    // A claim may be lost, but most schedules must have had a race.
    CHECK(claims > races + races / 2);
}

// Guards against orders without a log record, and against work that accumulates during an
// outage.
TEST_CASE("a node sends no orders for decisions made during a log outage")
{
    simulation world(1, tree_of(model("a", 30)), 2);
    world.add_engine("z1", false);
    REQUIRE(world.run_until([&] { return world.ready_copies("a", "1") == 1; }, limit));
    world.run_for(milliseconds(1000));
    world.log.down = true;
    int sent = 0;
    world.on_send = [&](const model_node&, const protocol::engine_order&) { ++sent; };
    world.set_tree(tree_of(model("a", 30) + "," + model("b", 30)));
    world.run_for(milliseconds(30000));
    CHECK(sent == 0);
    CHECK(world.ready_copies("a", "1") == 1);
    world.log.down = false;
    CHECK(world.run_until([&] { return world.ready_copies("b", "1") == 1; },
                          milliseconds(10000)));
}

namespace
{

constexpr int schedules = 300;
constexpr int rounds = 4;
constexpr int engine_restart = 4;

std::string random_models(simulation& world)
{
    const auto version = [&] { return world.draw(0.5) ? "1" : "2"; };
    // Two models fit on an engine, so nearly every load has to wait for free memory.
    return model("m0", 38, version(), 2) + "," + model("m1", 36, "1", 2) + "," +
           model("m2", 30, version(), 1) + "," + model("m3", 40, "1", 1);
}

void shift_demand(simulation& world)
{
    world.demand.clear();
    const auto hot = static_cast<int>(world.random_delay(0, 3).count());
    world.demand[{"m" + std::to_string(hot), ""}].tokens_per_s = 1400.0;
}

void thaw_all(simulation& world)
{
    world.freeze_on_send = false;
    for (std::size_t i = 0; i < world.nodes.size(); ++i)
    {
        if (world.nodes[i]->frozen)
            world.thaw(i);
    }
}

int random_fault(simulation& world)
{
    return static_cast<int>(world.random_delay(0, 6).count());
}

/// Starts one fault of a random kind that ends by itself within ten seconds.
void inject(simulation& world, int kind)
{
    const auto node = static_cast<std::size_t>(world.random_delay(0, 2).count());
    const auto engine = static_cast<std::size_t>(world.random_delay(0, 3).count());
    const milliseconds pause = world.random_delay(100, 10000);
    switch (kind)
    {
    case 0:
        world.freeze_on_send = true;
        world.at(pause, [&world] { thaw_all(world); });
        break;
    case 1:
        world.freeze(node);
        world.at(pause, [&world] { thaw_all(world); });
        break;
    case 2:
        world.replace(node);
        break;
    case 3:
        world.log.down = true;
        world.at(pause, [&world] { world.log.down = false; });
        break;
    case engine_restart:
        world.restart_engine(engine);
        break;
    case 5:
        world.faults = {0.2, 0.2, 0.3};
        world.at(pause, [&world] { world.faults = {}; });
        break;
    default:
        if (world.log.records.size() > 200)
            world.expire_log(world.log.records.size() - 150);
        break;
    }
}

} // namespace

// Guards against combinations of faults, also the same one twice, that exceed the memory
// limit of an engine or permanently leave a model without a copy. The checks use the
// memory of the simulated engines.
TEST_CASE("random schedules of faults neither overcommit an engine nor lose a model")
{
    std::vector<int> seeds(schedules);
    std::iota(seeds.begin(), seeds.end(), 1);
    // These seeds found two faults: copies kept for past demand displaced the minimum
    // copies of another model, and an outdated inventory listed a copy that had been
    // unloaded.
    seeds.insert(seeds.end(), {848, 1702});
    for (const int seed : seeds)
    {
        CAPTURE(seed);
        simulation world(static_cast<std::uint64_t>(seed), tree_of("", 60), 3);
        for (int i = 0; i < 4; ++i)
            world.add_engine("z" + std::to_string(1 + i % 3), world.draw(0.5));
        world.set_tree(tree_of(random_models(world), 60));
        world.run_for(milliseconds(6000));
        bool engine_lost = false;
        for (int i = 0; i < rounds; ++i)
        {
            // Two or three faults at once, half of the time the same one twice.
            const int first = random_fault(world);
            const int second = world.draw(0.5) ? first : random_fault(world);
            engine_lost =
                engine_lost || first == engine_restart || second == engine_restart;
            inject(world, first);
            world.run_for(world.random_delay(0, 300));
            inject(world, second);
            shift_demand(world);
            world.set_tree(tree_of(random_models(world), 60));
            world.run_for(world.random_delay(0, 8000));
        }
        world.run_for(world.random_delay(0, 10000));
        thaw_all(world);
        CHECK(world.run_until(
            [&]
            {
                return world.ready_copies("m0", world.version_of("m0")) >= 2 &&
                       world.ready_copies("m1", "1") >= 2 &&
                       world.ready_copies("m2", world.version_of("m2")) >= 1 &&
                       world.ready_copies("m3", "1") >= 1;
            },
            limit));
        CHECK(world.overcommitted().empty());
        // A restart may remove the copy that made an unload safe.
        CHECK((engine_lost || world.last_copies_removed.empty()));
    }
}
