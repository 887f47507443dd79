#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <string>

// Values of the configuration and of the settings that change while a gateway runs.

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using test::gateway_fixture;
using test::raw_reply;
using test::response_text;

raw_reply ok(const transport::http_request& request)
{
    return {{response_text("200 OK", std::string(request["X-Pomelorouter-Attempt-Id"]),
                           "done")}};
}

} // namespace

// Guards against requests that are refused on connections from before a change, though
// the configuration in force allows them.
TEST_CASE("raised limits of the configuration hold on connections that are kept open")
{
    gateway_fixture test;
    test.add_backend("s1", "plain", ok);
    test.max_body_bytes = 1000;
    test.idle_timeout_ms = 60000;
    test.put_config(1);
    test.start();
    const auto response = test.fetch(test.request("/again/x", "a1"));
    REQUIRE(response);
    CHECK(response->result_int() == 200);
    test.max_body_bytes = 4000;
    test.put_config(2);
    test.run_until(
        [&test] { return test.gateway->shared_state().routes->config().version == 2; });
    // The client sends it on the connection of the first request.
    transport::http_request large = test.request("/again/x", "a2");
    large.body().assign(4000, 'x');
    large.prepare_payload();
    const auto second = test.fetch(large);
    REQUIRE(second);
    CHECK(second->result_int() == 200);
}
