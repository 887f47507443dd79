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

// Guards against tests that take the list for current.
TEST_CASE("the instance list shows the state before the lag")
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

// Guards against a list of which one entry is misread.
TEST_CASE("the instance list arrives as it was registered")
{
    test_loop test;
    served<tools::platform_handler> platform(test, {}, tools::platform_limits{},
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

// Guards against invalid lists that change what a node knows.
TEST_CASE("an invalid instance list is refused with the place")
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

// Guards against placement that ignores how the store slows down.
TEST_CASE("the weight store slows down beyond its loads at full speed")
{
    tools::weight_store_options options;
    options.loads_per_s = 2.0;
    options.load_time = state::milliseconds(100);
    options.full_speed_loads = 2;
    options.adapter_time = state::milliseconds(20);
    options.full_speed_adapters = 4;
    tools::weight_store store(options);
    const state::time_point now = state::time_point{} + state::seconds(100);
    const int model_ms[] = {100, 600, 1000 + 150, 1500 + 200};
    for (const int expected : model_ms)
        CHECK(store.begin(false, now).count() == expected);
    for (int n = 0; n < 4; ++n)
        CHECK(store.begin(true, now).count() == 20);
    CHECK(store.begin(true, now).count() == 25);
    store.end(true);
    store.end(true);
    CHECK(store.begin(true, now).count() == 20);
}

// Guards against a stand-in that is half changed by an invalid request.
TEST_CASE("invalid faults are refused and change nothing")
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
        CHECK(faults.down == tools::outage::none);
    }
}
