#include "stand_in_fixture.hpp"

#include "protocol/platform_api.hpp"
#include "state/error.hpp"
#include "tools/platform_stand_in/platform_handler.hpp"

#include <doctest/doctest.h>

using namespace contracts; // NOLINT(google-build-using-namespace): test file

namespace
{

state::instance make_instance(const std::string& id, state::instance_state as)
{
    state::instance item;
    item.id = id;
    item.kind = state::instance_kind::engine;
    item.address = "127.0.0.1:1";
    item.zone = "z";
    item.state = as;
    item.incarnation = 7;
    return item;
}

} // namespace

// Guards against tests that assume the instance list is up to date.
TEST_CASE("a change of the instance list is visible only after the lag")
{
    tools::platform_limits limits;
    limits.list_lag = state::milliseconds(1000);
    tools::platform_state list(limits);
    const state::time_point begin = state::time_point{} + state::seconds(100);
    list.set_instance(make_instance("e", state::instance_state::live), begin);
    const auto leaving = make_instance("e", state::instance_state::leaving);
    list.set_instance(leaving, begin + state::milliseconds(500));
    list.remove_instance("e", begin + state::milliseconds(600));
    struct row
    {
        int at_ms;
        std::size_t size;
        state::instance_state seen;
    };
    const row rows[] = {{999, 0, state::instance_state::live},
                        {1000, 1, state::instance_state::live},
                        {1500, 1, state::instance_state::leaving},
                        {1600, 0, state::instance_state::live}};
    for (const row& item : rows)
    {
        CAPTURE(item.at_ms);
        const auto visible =
            list.visible_instances(begin + state::milliseconds(item.at_ms));
        REQUIRE(visible.size() == item.size);
        if (!visible.empty())
            CHECK(visible.front().state == item.seen);
    }
}

// Guards against an instance list in which an entry is parsed incorrectly.
TEST_CASE("the instance list equals the registered instances, without removed ones")
{
    test_loop test;
    stand_in_server<tools::platform_handler> platform(test, {}, tools::platform_limits{},
                                                      tools::weight_store_options{});
    const std::vector<state::instance> items = {
        make_instance("a", state::instance_state::live),
        make_instance("b", state::instance_state::leaving)};
    platform.post("/control/instances", protocol::format_instances(items));
    CHECK(protocol::parse_instances(platform.get("/instances").body()) == items);
    platform.fetch(
        transport::make_request(transport::verb::delete_, "/control/instances/a"));
    CHECK(protocol::parse_instances(platform.get("/instances").body()).size() == 1);
}

// Guards against an invalid instance list that changes the state of a node.
TEST_CASE("an invalid instance list is rejected with an error code and its place")
{
    struct row
    {
        const char* body;
        state::error_code code;
    };
    const row rows[] = {
        {"", state::error_code::invalid_json},
        {"{}", state::error_code::missing_key},
        {R"({"instances":[{"id":1}]})", state::error_code::wrong_type},
        {R"({"instances":[{"id":"a","kind":"moon"}]})", state::error_code::out_of_range},
        {R"({"instances":[{"id":"a","kind":"node","address":"x","zone":"z","state":"x"}]})",
         state::error_code::out_of_range},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.body);
        try
        {
            protocol::parse_instances(item.body);
            FAIL("accepted");
        }
        catch (const state::error& failure)
        {
            CHECK(failure.code() == item.code);
            CHECK(!failure.place().empty());
        }
    }
}

// Guards against a placement that ignores the limits of the weight store.
TEST_CASE("loads take longer when more are in flight than the store serves at full speed")
{
    tools::weight_store_options options;
    options.loads_per_s = 2.0;
    options.load_time = state::milliseconds(100);
    options.full_speed_loads = 2;
    options.adapter_load_time = state::milliseconds(20);
    options.full_speed_adapters = 4;
    tools::weight_store store(options);
    const state::time_point now = state::time_point{} + state::seconds(100);
    const int model_ms[] = {100, 600, 1000 + 150, 1500 + 200};
    for (const int expected : model_ms)
        CHECK(store.begin_load(false, now).count() == expected);
    for (int n = 0; n < 4; ++n)
        CHECK(store.begin_load(true, now).count() == 20);
    CHECK(store.begin_load(true, now).count() == 25);
    store.end_load(true);
    store.end_load(true);
    CHECK(store.begin_load(true, now).count() == 20);
}

// Guards against an invalid request that changes part of the faults.
TEST_CASE("invalid faults are rejected and change nothing")
{
    const char* rows[] = {"",
                          "[]",
                          R"({"down":"maybe"})",
                          R"({"freeze":true,"unknown":1})",
                          R"({"down":"refused"})",
                          R"({"slow":{"factor":0}})",
                          R"({"lose_answers":{"path":"/"}})",
                          R"({"crossed":{"kind":"colour","count":1}})"};
    for (const char* body : rows)
    {
        CAPTURE(body);
        tools::fault_state faults;
        CHECK_THROWS_AS(tools::apply_faults(faults, body, 3), state::error);
        CHECK(!faults.frozen);
        CHECK(faults.current_outage == tools::outage::none);
    }
}
