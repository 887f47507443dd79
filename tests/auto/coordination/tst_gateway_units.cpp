#include "coordination/admission_queue.hpp"
#include "coordination/backend_choice.hpp"
#include "coordination/backend_directory.hpp"
#include "coordination/gateway_members.hpp"
#include "coordination/load_rate_limiter.hpp"
#include "coordination/route_table.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using namespace coordination; // NOLINT(google-build-using-namespace): test file
using state::milliseconds;
using state::time_point;

const time_point start{state::seconds(100)};

state::backend_entry entry(const std::string& id, std::int64_t incarnation = 1)
{
    state::backend_entry result;
    result.id = id;
    result.incarnation = incarnation;
    result.service = "models";
    result.address = "127.0.0.1:1";
    result.zone = "zone-a";
    result.slots = 64;
    result.models = {{"m1", 1, {"a1"}}};
    return result;
}

backend_demand demand()
{
    backend_demand result;
    result.service = "models";
    result.model = "m1";
    result.prompt_tokens = 2000;
    result.output_tokens = 20;
    result.parts = {{1, 500}, {2, 1500}};
    result.target_ms = 800.0;
    return result;
}

std::string key_of(const std::string& id)
{
    return backend_chooser::process_key(entry(id));
}

} // namespace

TEST_CASE("the route with the longest matching prefix of the host is found")
{
    auto config = std::make_shared<state::gateway_config>();
    const auto add = [&config](const char* name, const char* host, const char* prefix)
    {
        state::gateway_route route;
        route.name = name;
        route.host = host;
        route.path_prefix = prefix;
        config->routes.push_back(route);
    };
    add("short", "a.example", "/x/");
    add("long", "a.example", "/x/y/");
    add("other", "b.example", "/x/y/");
    const route_table table(config);
    CHECK(table.find("a.example", "/x/y/z")->name == "long");
    CHECK(table.find("A.Example:8080", "/x/z")->name == "short");
    CHECK(table.find("b.example", "/x/y/")->name == "other");
    CHECK(table.find("b.example", "/x/z") == nullptr);
    CHECK(table.find("c.example", "/x/y/") == nullptr);
}

TEST_CASE("the requests of a route are divided among services by weight")
{
    state::gateway_route route;
    route.services = {{"none", 0.0}, {"most", 90.0}, {"some", 10.0}};
    CHECK(choose_service(route, 0.0)->service == "most");
    CHECK(choose_service(route, 0.89)->service == "most");
    CHECK(choose_service(route, 0.91)->service == "some");
    CHECK(choose_service(route, 0.9999)->service == "some");
    route.services = {{"none", 0.0}};
    CHECK(choose_service(route, 0.5) == nullptr);
}

// Guards against healthy backend servers that are dropped after an outage of the store,
// and against removed ones that are kept.
TEST_CASE("an entry that expires during an outage is dropped unless it is written again")
{
    backend_directory directory;
    directory.apply(start, entry("e1"));
    directory.apply(start, entry("e2"));
    CHECK(directory.remove(start + state::seconds(10), "e2") == directory_change::gone);
    directory.on_store_contact(start + state::seconds(20), false);
    const time_point back = start + state::seconds(30);
    directory.on_store_contact(back, true);
    CHECK(directory.remove(back, "e1") == directory_change::removal_deferred);
    CHECK(directory.remove(back, "e1") == directory_change::none);
    CHECK(directory.find("e1") != nullptr);
    SUBCASE("the entry is written again")
    {
        directory.apply(back + state::seconds(1), entry("e1"));
        CHECK(directory.tick(back + state::seconds(5)).empty());
        CHECK(directory.find("e1") != nullptr);
    }
    SUBCASE("the entry is not written again")
    {
        CHECK(directory.tick(back + state::seconds(1)).empty());
        CHECK(directory.tick(back + state::seconds(5)).size() == 1);
        CHECK(directory.find("e1") == nullptr);
    }
}

TEST_CASE("a leaving process stays leaving until a new one uses its id")
{
    backend_directory directory;
    state::backend_entry leaving = entry("e1");
    leaving.phase = state::backend_phase::draining;
    leaving.remaining = milliseconds(2000);
    directory.apply(start, entry("e1"));
    CHECK(directory.apply(start, leaving) == directory_change::leaving);
    CHECK(directory.find("e1")->removal == start + milliseconds(2000));
    directory.apply(start, entry("e1"));
    CHECK(directory.find("e1")->is_leaving);
    CHECK(directory.apply(start, entry("e1", 2)) == directory_change::restarted);
    CHECK_FALSE(directory.find("e1")->is_leaving);
    CHECK(directory.apply(start, entry("e1", 1)) == directory_change::none);
    directory.on_misdirected("e1", 1);
    CHECK(directory.find("e1") != nullptr);
    directory.on_misdirected("e1", 2);
    CHECK(directory.find("e1") == nullptr);
}

// Guards against requests for weights that an engine has just unloaded.
TEST_CASE("an announcement of weights overrides an entry that was written earlier")
{
    backend_directory directory;
    directory.apply(start, entry("e1"));
    CHECK(directory.on_weights(start, "e1", 1, 3, {{"m2", 1, {}}}));
    directory.apply(start + milliseconds(500), entry("e1"));
    CHECK(directory.find("e1")->entry.find_model("m1") == nullptr);
    CHECK(directory.find("e1")->entry.find_model("m2") != nullptr);
    CHECK_FALSE(directory.on_weights(start, "e1", 1, 2, {}));
    CHECK_FALSE(directory.on_weights(start, "e1", 2, 4, {}));
    directory.apply(start + state::seconds(5), entry("e1"));
    CHECK(directory.find("e1")->entry.find_model("m1") != nullptr);
}

TEST_CASE("a failed choice reports why no backend server was chosen")
{
    backend_directory directory;
    backend_loads loads;
    const backend_limits limits;
    const backend_chooser chooser("zone-a", {});
    const auto choose =
        [&](const backend_demand& wanted, const std::set<std::string>& tried)
    { return chooser.choose(start, directory, loads, limits, wanted, tried, 0.3); };
    CHECK(choose(demand(), {}).failure == choice_failure::no_backend);
    directory.apply(start, entry("e1"));
    CHECK(choose(demand(), {}).backend->entry.id == "e1");
    CHECK(choose(demand(), {"e1"}).failure == choice_failure::all_tried);
    backend_demand other = demand();
    other.model = "m9";
    CHECK(choose(other, {}).failure == choice_failure::model_missing);
    other = demand();
    other.adapter = "a9";
    CHECK(choose(other, {}).failure == choice_failure::adapter_missing);
    other.adapter = "a1";
    CHECK(choose(other, {}).backend != nullptr);
}

// Load pattern: one of several engines is loaded, unresponsive, failing or full, and the
// next requests must go to the others.
TEST_CASE("the engine with the shortest expected wait is chosen")
{
    backend_directory directory;
    directory.apply(start, entry("e1"));
    directory.apply(start, entry("e2"));
    backend_loads loads;
    const backend_limits limits;
    const backend_chooser chooser("zone-a", {});
    time_point now = start;
    const auto count_first = [&]
    {
        int first = 0;
        for (int i = 0; i < 20; ++i)
        {
            const auto choice =
                chooser.choose(now, directory, loads, limits, demand(), {}, i / 20.0);
            first += choice.backend->entry.id == "e1" ? 1 : 0;
        }
        return first;
    };
    const int even = count_first();
    CHECK(even > 0);
    CHECK(even < 20);
    SUBCASE("the first engine has waiting prompts")
    {
        for (int i = 0; i < 4; ++i)
            loads.begin(now, key_of("e1"), {2000, 20, 100.0});
        CHECK(count_first() == 0);
    }
    SUBCASE("the first engine has waiting prompts of other gateways")
    {
        loads.set_peer(now, {protocol::load_scope::gateway, "peer"},
                       {{key_of("e1"), {4, 8000, 0, 0.0}}});
        CHECK(count_first() == 0);
        now += state::seconds(3);
        CHECK(count_first() > 0);
    }
    SUBCASE("a call to the first engine is overdue")
    {
        loads.begin(now, key_of("e1"), {0, 0, 50.0});
        now += milliseconds(600);
        CHECK(count_first() == 0);
    }
    SUBCASE("calls to the first engine failed")
    {
        for (int i = 0; i < 3; ++i)
            loads.end(now, loads.begin(now, key_of("e1"), {0, 0, 50.0}),
                      call_result::failed);
        CHECK(count_first() == 0);
        now += state::seconds(30);
        CHECK(count_first() > 0);
    }
    SUBCASE("the first engine refused a call")
    {
        loads.end(now, loads.begin(now, key_of("e1"), {0, 0, 50.0}),
                  call_result::refused);
        CHECK(count_first() == 0);
        now += milliseconds(200);
        CHECK(count_first() > 0);
    }
    SUBCASE("the first engine answered slowly")
    {
        for (int i = 0; i < 8; ++i)
        {
            const auto call = loads.begin(now, key_of("e1"), {0, 0, 50.0});
            loads.on_first_byte(now + milliseconds(400), call);
            loads.end(now + milliseconds(400), call, call_result::answered);
        }
        now += milliseconds(400);
        CHECK(count_first() == 0);
    }
}

// Load pattern: requests with shared prompt parts.
TEST_CASE("an engine that has cached the start of the prompt is preferred")
{
    backend_directory directory;
    directory.apply(start, entry("e1"));
    directory.apply(start, entry("e2"));
    const backend_loads loads;
    const backend_limits limits;
    backend_chooser chooser("zone-a", {});
    chooser.on_sent(*directory.find("e2"), demand(), 10000);
    for (int i = 0; i < 20; ++i)
    {
        const auto choice =
            chooser.choose(start, directory, loads, limits, demand(), {}, i / 20.0);
        CHECK(choice.backend->entry.id == "e2");
        CHECK(choice.uncached_tokens == 0);
    }
    // A new process with the same id has an empty cache.
    directory.apply(start, entry("e2", 2));
    chooser.retain(directory);
    CHECK(chooser.choose(start, directory, loads, limits, demand(), {"e1"}, 0.5)
              .uncached_tokens == 2000);
}

TEST_CASE("a full prompt cache evicts the least recently used parts")
{
    prompt_cache cache(1000);
    const std::vector<prompt_part> first{{1, 400}, {2, 200}};
    cache.record("m1", first);
    CHECK(cache.cached_tokens("m1", first) == 600);
    CHECK(cache.cached_tokens("m2", first) == 0);
    CHECK(cache.cached_tokens("m1", {{1, 400}, {3, 200}}) == 400);
    // A part counts only after the same preceding parts.
    CHECK(cache.cached_tokens("m1", {{2, 200}}) == 0);
    cache.record("m1", {{7, 900}});
    CHECK(cache.cached_tokens("m1", {{7, 900}}) == 900);
    CHECK(cache.cached_tokens("m1", first) == 0);
}

// Load pattern: more requests than the engines can serve in time. Late requests must not
// delay the others, which are ordered by rank.
TEST_CASE("waiting requests that can be answered in time precede late ones")
{
    admission_queue queue;
    const auto enter =
        [&queue](int rank, int arrival_ms, int latest_start_ms, const char* engine_group)
    {
        return queue.enter({engine_group, rank, start + milliseconds(arrival_ms),
                            start + milliseconds(latest_start_ms), 100.0});
    };
    const auto late = enter(0, 0, 500, "m1");
    const auto second = enter(1, 10, 5000, "m1");
    const auto first = enter(0, 20, 5000, "m1");
    const auto elsewhere = enter(1, 30, 5000, "m2");
    const time_point now = start + milliseconds(1000);
    CHECK(queue.is_next(now, first));
    CHECK(queue.is_next(now, elsewhere));
    CHECK_FALSE(queue.is_next(now, second));
    CHECK_FALSE(queue.is_next(now, late));
    CHECK(queue.is_next(start, late));
    CHECK(queue.work_ahead_ms(now, first) == 0.0);
    CHECK(queue.work_ahead_ms(now, second) == 100.0);
    CHECK(queue.work_ahead_ms(now, late) == 200.0);
    queue.leave(first);
    CHECK(queue.is_next(now, second));
    queue.leave(second);
    CHECK(queue.is_next(now, late));
}

// Guards against more loads from the weight store than its rate allows in any window of
// five seconds, also after a change of the holder of the placement lease.
TEST_CASE("loads from the weight store stay within its rate")
{
    load_rate_limiter allowance;
    std::vector<time_point> begun;
    allowance.reset(start);
    for (int tick = 0; tick < 600; ++tick)
    {
        const time_point now = start + milliseconds(tick * 50);
        if (tick == 300)
            allowance.reset(now);
        while (allowance.available(now, 2.0) > 0)
        {
            allowance.take();
            begun.push_back(now);
        }
    }
    for (std::size_t i = 0; i < begun.size(); ++i)
    {
        const auto in_window = std::count_if(
            begun.begin(), begun.end(),
            [&](time_point when)
            { return when >= begun[i] && when - begun[i] < state::seconds(5); });
        CHECK(in_window <= 2 * 5 + 2);
    }
    CHECK(begun.size() > 50);
}

TEST_CASE("load reports are added up and can be subtracted again")
{
    using protocol::load_scope;
    backend_loads loads;
    const time_point now = start;
    loads.begin(now, "e1", {1000, 100, 50.0});
    loads.set_peer(now, {load_scope::gateway, "a"}, {{"e1", {2, 500, 1, 0.0}}});
    loads.set_peer(now, {load_scope::gateway, "b"}, {{"e2", {3, 0, 0, 0.0}}});
    loads.set_peer(now, {load_scope::zone, "far"}, {{"e1", {10, 0, 4, 0.0}}});
    CHECK(loads.zone_loads(now).at("e1").active == 3);
    CHECK(loads.zone_loads(now).at("e2").active == 3);
    auto all = loads.all_loads(now);
    CHECK(all.at("e1").active == 13);
    CHECK(all.at("e1").waiting_tokens == 1500);
    CHECK(all.at("e1").long_streams == 6);
    all.at("e1") -= loads.loads_of(now, {load_scope::gateway, "a"})->at("e1");
    CHECK(all.at("e1").active == 11);
    // A report may have grown since the sum was computed.
    all.at("e1") -= {100, 5000, 50, 1.0};
    CHECK(all.at("e1").active == 0);
    CHECK(all.at("e1").waiting_tokens == 0);
    const time_point later = now + state::seconds(3);
    CHECK(loads.loads_of(later, {load_scope::gateway, "a"}) == nullptr);
    CHECK(loads.all_loads(later).at("e1").active == 1);
    loads.forget_peers();
    CHECK(loads.all_loads(now).size() == 1);
}

TEST_CASE("gateways that send no heartbeats do not count as ready")
{
    gateway_members members("own");
    protocol::gateway_heartbeat heartbeat;
    heartbeat.origin = {"peer", 5, "zone-a", "f", "c", "d", true};
    heartbeat.counter = 1;
    CHECK(members.on_heartbeat(start, heartbeat));
    CHECK_FALSE(members.on_heartbeat(start, heartbeat));
    CHECK(members.ready(start).size() == 1);
    CHECK(members.ready(start + state::seconds(2)).empty());
    // The gateway restarted after its clock was set back.
    heartbeat.origin.incarnation = 3;
    CHECK_FALSE(members.on_heartbeat(start + milliseconds(500), heartbeat));
    CHECK(members.on_heartbeat(start + state::seconds(3), heartbeat));
    heartbeat.origin.ready = false;
    heartbeat.counter = 2;
    CHECK(members.on_heartbeat(start + state::seconds(3), heartbeat));
    CHECK(members.ready(start + state::seconds(3)).empty());
    CHECK(members.alive(start + state::seconds(3)).size() == 1);
    // A gateway that announces a longer period stays alive longer without heartbeats.
    heartbeat.counter = 3;
    heartbeat.period = milliseconds(1000);
    CHECK(members.on_heartbeat(start + state::seconds(4), heartbeat));
    CHECK(members.is_alive(start + milliseconds(6900), "peer"));
    CHECK_FALSE(members.is_alive(start + milliseconds(7100), "peer"));
    heartbeat.origin.node = "own";
    CHECK_FALSE(members.on_heartbeat(start, heartbeat));
    CHECK(members.tick(start + state::seconds(60)).size() == 1);
    CHECK(members.known().empty());
}

// Guards against a patient request that waits for room and keeps an urgent one of a team
// with a lower priority from being sent.
TEST_CASE("a request without room does not keep others of its group waiting")
{
    coordination::admission_queue queue;
    const state::time_point now{};
    const state::time_point later = now + state::seconds(10);
    const auto first = queue.enter({"m1", 0, now, later, 10.0});
    const auto second = queue.enter({"m1", 3, now, later, 10.0});
    CHECK(!queue.is_next(now, second));
    queue.set_held(first, true);
    CHECK(queue.is_next(now, second));
    CHECK(queue.is_next(now, first));
    queue.set_held(first, false);
    CHECK(!queue.is_next(now, second));
}
