#include "coordination/routing_policy.hpp"

#include "engine_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using namespace pomelorouter::coordination; // NOLINT(google-build-using-namespace)
using state::routing_policy_kind;
using tests::engine_fixture;
using tests::start_time;

namespace
{
constexpr routing_policy_kind all_kinds[] = {
    routing_policy_kind::random, routing_policy_kind::round_robin,
    routing_policy_kind::least_in_flight, routing_policy_kind::expected_wait};
} // namespace

// Guards against sending work to engines that are leaving or on which the same request
// has failed.
TEST_CASE("no policy chooses a leaving engine or one that was already tried")
{
    for (const auto kind : all_kinds)
    {
        CAPTURE(to_string(kind));
        engine_fixture fixture(4);
        fixture.engines[0].leaving = true;
        fixture.load.at(fixture.load.slot_of(1)).leaving = true;
        const std::vector<engine_slot> tried{fixture.load.slot_of(2)};
        routing_query query = fixture.query();
        query.tried = tried;
        const auto policy = make_routing_policy(kind);
        random_source random(7);
        for (int i = 0; i < 100; ++i)
            CHECK(policy->choose(query, random) == 3U);
        fixture.engines[3].leaving = true;
        CHECK_FALSE(policy->choose(query, random));
        query.candidates = {};
        CHECK_FALSE(policy->choose(query, random));
    }
}

// Guards against a model that becomes unreachable because all its replicas are ejected,
// and against sending work to an ejected engine while another replica serves.
TEST_CASE("an ejected engine is chosen only if all replicas are ejected")
{
    engine_fixture fixture(2);
    const auto policy = make_routing_policy(routing_policy_kind::expected_wait);
    random_source random(7);
    fixture.load.at(fixture.load.slot_of(0)).ejected = true;
    for (int i = 0; i < 100; ++i)
        CHECK(policy->choose(fixture.query(), random) == 1U);
    fixture.load.at(fixture.load.slot_of(1)).ejected = true;
    CHECK(policy->choose(fixture.query(), random));
}

// Guards against a full engine that attracts requests because it has none from this node.
TEST_CASE("an engine that refused work as full is avoided until its time has passed")
{
    engine_fixture fixture(2);
    const auto policy = make_routing_policy(routing_policy_kind::expected_wait);
    random_source random(7);
    fixture.load.at(fixture.load.slot_of(0)).full_until =
        start_time + state::milliseconds(100);
    routing_query query = fixture.query();
    for (int i = 0; i < 100; ++i)
        CHECK(policy->choose(query, random) == 1U);
    query.now = start_time + state::milliseconds(100);
    int first = 0;
    for (int i = 0; i < 100; ++i)
        first += policy->choose(query, random) == 0U ? 1 : 0;
    CHECK(first > 0);
}

// Guards against long requests that occupy all slots of an engine and block short ones.
TEST_CASE("long requests use at most their share of the slots of an engine")
{
    engine_fixture fixture(2);
    const auto policy = make_routing_policy(routing_policy_kind::expected_wait);
    random_source random(7);
    routing_query query = fixture.query(4000);
    query.long_work = true;
    query.long_share_percent = 25;
    int placed = 0;
    while (const auto chosen = policy->choose(query, random))
    {
        fixture.load.start(fixture.load.slot_of(*chosen), 4000, true, start_time);
        REQUIRE(++placed <= 8);
    }
    CHECK(placed == 8);
    query.long_work = false;
    CHECK(policy->choose(query, random));
}

// Guards against traffic between regions while near replicas have as little load.
TEST_CASE("near availability zones and cached prefixes are preferred")
{
    engine_fixture fixture(6);
    for (std::size_t i = 0; i < 5; ++i)
        fixture.engines[i].distance_us = 15000;
    const auto policy = make_routing_policy(routing_policy_kind::expected_wait);
    random_source random(7);
    int near = 0;
    for (int i = 0; i < 1000; ++i)
        near += policy->choose(fixture.query(), random) == 5U ? 1 : 0;
    CHECK(near > 500); // a sixth of the requests without the preference

    prefix_index prefixes;
    const prefix_hashes prompt("assistants/m", std::string(4096, 'p'));
    prefixes.record(prompt, fixture.load.slot_of(2));
    routing_query query = fixture.query();
    query.prefixes = &prefixes;
    query.prompt = &prompt;
    for (int i = 0; i < 100; ++i)
        CHECK(policy->choose(query, random) == 2U);
    // A long queue outweighs the prefix.
    for (int i = 0; i < 64; ++i)
        fixture.load.start(fixture.load.slot_of(2), 1000, false, start_time);
    for (int i = 0; i < 100; ++i)
        CHECK(policy->choose(query, random) != 2U);
}

// Guards against nodes that all read the same old load report and all switch to the
// engine that was the least loaded one at that time.
TEST_CASE("nodes with the same old report spread their requests")
{
    constexpr int node_count = 100;
    constexpr int requests_per_node = 20;
    engine_fixture fixture(20);
    for (std::size_t i = 0; i < fixture.engines.size(); ++i)
        fixture.engines[i].load.running = i == 0 ? 0 : 12;
    std::vector<int> received(fixture.engines.size(), 0);
    const auto policy = make_routing_policy(routing_policy_kind::expected_wait);
    random_source random(11);
    for (int node = 0; node < node_count; ++node)
    {
        engine_fixture own(20);
        own.engines = fixture.engines;
        for (int i = 0; i < requests_per_node; ++i)
        {
            const auto chosen = policy->choose(own.query(), random);
            REQUIRE(chosen);
            ++received[*chosen];
            own.load.start(own.load.slot_of(*chosen), 100, false, start_time);
        }
    }
    constexpr int mean = node_count * requests_per_node / 20;
    CHECK(*std::max_element(received.begin(), received.end()) <= 3 * mean);
}

// Guards against load that is attributed to another engine after its index in the view
// has changed.
TEST_CASE("local load is kept for an engine and its incarnation")
{
    engine_fixture fixture(3);
    const engine_slot slot = fixture.load.slot_of(2);
    const call_number call = fixture.load.start(slot, 50, true, start_time);
    fixture.engines.erase(fixture.engines.begin());
    fixture.load.bind(fixture.engines);
    CHECK(fixture.load.slot_of(1) == slot);
    CHECK(fixture.load.at_index(1).requests == 1);
    CHECK(fixture.load.at_index(1).long_requests == 1);

    fixture.engines[1].incarnation = 2;
    fixture.load.bind(fixture.engines);
    CHECK(fixture.load.at_index(1).requests == 0);
    CHECK(fixture.load.slot_of(1) != slot);
    fixture.load.finish(call);
    CHECK(fixture.load.at(slot).requests == 0);
    CHECK(fixture.load.at(slot).expected_tokens == 0);
    // The slot of the old process is reused once its calls have ended.
    fixture.engines.push_back(fixture.engines[0]);
    fixture.engines.back().id = "engine-new";
    const std::size_t slots = fixture.load.slot_count();
    fixture.load.bind(fixture.engines);
    CHECK(fixture.load.slot_count() == slots);
}
