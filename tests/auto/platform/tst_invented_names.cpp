#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <string>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using test::gateway_fixture;
using test::raw_reply;

} // namespace

// Guards against names that clients invent: each would be kept, and reported to other
// gateways in place of the models in use.
TEST_CASE("only models and adapters of the configuration count as demand")
{
    gateway_fixture test;
    test.add_backend("e1", "models",
                     [](const transport::http_request& request) -> raw_reply
                     {
                         const std::string attempt(request["X-Pomelorouter-Attempt-Id"]);
                         return {{test::stream_head(attempt), test::chunk(test::event(1)),
                                  "0\r\n\r\n"}};
                     },
                     {"m1"});
    test.put_config(1, 500, 2, 100);
    test.start();
    const coordination::weight_demand& demand = test.gateway->shared_state().demand;
    int number = 0;
    for (const char* const name : {"invented", "m1/invented", "invented/a1"})
    {
        CAPTURE(std::string(name));
        const auto refused =
            test.fetch(test.request("/stream/x", "a" + std::to_string(++number), name));
        REQUIRE(refused);
        CHECK(refused->result_int() == 503);
        CHECK(demand.measured() == 0);
        CHECK(!demand.has_waiting());
    }
    const auto answered = test.fetch(test.request("/stream/x", "a4", "m1"));
    REQUIRE(answered);
    CHECK(answered->result_int() == 200);
    CHECK(demand.measured() == 1);
    // The adapter is not loaded, so its request waits and makes the gateway load it.
    test.fetch(test.request("/stream/x", "a5", "m1/a1"));
    CHECK(demand.measured() == 2);
}
