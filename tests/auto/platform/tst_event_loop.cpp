#include "scripted_peer.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using test::gateway_fixture;
using test::raw_reply;
using test::response_text;
using test::scripted_peer;

constexpr int engine_count = 320;
constexpr int adapter_count = 3000;
constexpr std::int64_t first_plans = 10;
constexpr std::int64_t measured_plans = 15;

/// Reply of an engine whose adapter slots are all in use, so that planning compares all
/// engines for each adapter and finds nothing to order.
raw_reply full_engine_reply(const transport::http_request& request)
{
    if (request.target() != "/pomelorouter/report")
        return {{response_text("409 Conflict", "", "")}};
    return {{response_text(
        "200 OK", "",
        R"({"Pending":[],"Sequence":0,"Busy":false,"Models":[{"Name":"m1","Version":1,)"
        R"("Adapters":["a1","a2","a3","a4","a5","a6","a7","a8"]}]})")}};
}

raw_reply not_found(const transport::http_request& /*request*/)
{
    return {{response_text("404 Not Found", "", "")}};
}

} // namespace

// Guards against a lease holder whose event loop only plans while other gateways report
// waiting requests, and applies a configuration or learns of a leaving backend server
// seconds late.
TEST_CASE("planning leaves most of the event loop's time to other work")
{
    gateway_fixture test;
    test.put_config(1, 5000, 2, 800, adapter_count);
    test::raw_backend engine(test.loop, full_engine_reply);
    for (int number = 0; number < engine_count; ++number)
        test.put_entry("e" + std::to_string(number), "models", engine.address, "ready",
                       {"m1"});
    scripted_peer peer(test, not_found, 1);
    peer.heartbeat.scope = protocol::load_scope::gateway;
    peer.heartbeat.rates = {{"models", "missing", "", 1.0, 1000.0, 1000.0, 1}};
    test.start();
    const auto value = [&test](const char* name) { return test.counters.value(name); };
    const auto run_until_plan = [&](std::int64_t number)
    {
        test.run_until(
            [&]
            {
                peer.send_heartbeat();
                return value("placement_plans_total") >= number;
            });
    };
    // The first plans request the reports of all engines.
    run_until_plan(first_plans);
    const std::int64_t plans = value("placement_plans_total");
    const std::int64_t busy_us = value("placement_plan_us_total");
    const auto begin = std::chrono::steady_clock::now();
    run_until_plan(plans + measured_plans);
    const auto elapsed = std::chrono::duration_cast<state::microseconds>(
        std::chrono::steady_clock::now() - begin);
    const std::int64_t planning_us = value("placement_plan_us_total") - busy_us;
    CAPTURE(planning_us);
    CAPTURE(elapsed.count());
    CHECK(planning_us < elapsed.count() / 3);
}
