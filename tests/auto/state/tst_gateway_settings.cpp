#include "state/error.hpp"
#include "state/gateway_settings.hpp"
#include "state/json_reader.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file

const std::string complete = R"({"node_id":"n1","zone":"z","listen":"1.2.3.4:1",
 "readiness_listen":"1.2.3.4:2","directory_listen":"1.2.3.4:3","control_listen":"1.2.3.4:4",
 "peer_listen":"1.2.3.4:5","platform":"1.2.3.4:6")";

state::gateway_settings read(const std::string& text)
{
    return state::read_gateway_settings(state::parse_json(text, "file"), "file");
}

} // namespace

TEST_CASE("valid gateway settings are read, with defaults for absent keys")
{
    const auto settings =
        read(complete + R"(,"seeds":["1.2.3.4:7"],"lease_duration_ms":2500,
        "engines_check_tokens":true,"log_level":"warning"})");
    CHECK(settings.node_id == "n1");
    CHECK(settings.seeds.size() == 1);
    CHECK(settings.lease_duration == state::milliseconds(2500));
    CHECK(settings.engines_check_tokens);
    CHECK(settings.minimum_log_level == state::log_level::warning);
    CHECK(settings.metrics_listen.empty());
}

TEST_CASE("invalid gateway settings are rejected with the place of the error")
{
    struct row
    {
        std::string text;
        const char* place;
    };
    const std::vector<row> rows{
        {"{}", "/node_id"},
        {complete + R"(,"unknown":1})", "/unknown"},
        {complete + R"(,"seeds":"1.2.3.4:7"})", "/seeds"},
        {complete + R"(,"seeds":[7]})", "/seeds"},
        {complete + R"(,"lease_duration_ms":0})", "/lease_duration_ms"},
        {complete + R"(,"retry_percent":101})", "/retry_percent"},
        {complete + R"(,"load_rate_factor":1.5})", "/load_rate_factor"},
        {complete + R"(,"zone_traffic_cost_ms_per_mb":-1})",
         "/zone_traffic_cost_ms_per_mb"},
        {complete + R"(,"processor_share":0})", "/processor_share"},
        {complete + R"(,"link_mbit_per_s":"fast"})", "/link_mbit_per_s"},
        {complete + R"(,"memory_limit_mb":31})", "/memory_limit_mb"},
        {complete + R"(,"memory_limit_mb":"120"})", "/memory_limit_mb"},
        {complete + R"(,"descriptor_limit":63})", "/descriptor_limit"},
        {complete + R"(,"descriptor_limit":4100.5})", "/descriptor_limit"},
        {complete + R"(,"log_level":"loud"})", "/log_level"},
        {complete + R"(,"metrics_listen":"nowhere"})", "/metrics_listen"},
        {R"({"node_id":"","zone":"z"})", "/node_id"},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.text);
        try
        {
            read(item.text);
            FAIL("the input was accepted");
        }
        catch (const state::error& failure)
        {
            CHECK(std::string(failure.what()).find(item.place) != std::string::npos);
        }
    }
}
