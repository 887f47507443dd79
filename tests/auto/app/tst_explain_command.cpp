#include "app/commands/explain_command.hpp"
#include "app/commands/node_client.hpp"
#include "state/error.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options/errors.hpp>
#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file

const std::vector<std::string> required{"--gateway",    "127.0.0.1:1", "--host",
                                        "shop.example", "--path",      "/x"};

std::vector<std::string> with(const std::vector<std::string>& more)
{
    std::vector<std::string> result = required;
    result.insert(result.end(), more.begin(), more.end());
    return result;
}

} // namespace

// Guards against arguments that are lost on the way to the gateway.
TEST_CASE("explain puts its arguments into the query")
{
    const auto least = app::read_explain_arguments(required);
    REQUIRE(least);
    CHECK(least->gateway == "127.0.0.1:1");
    CHECK_FALSE(least->prints_json);
    CHECK(least->query ==
          boost::json::parse(R"({"host":"shop.example","path":"/x","method":"POST"})"));
    const auto all = app::read_explain_arguments(
        with({"--method", "GET", "--key", "k", "--model", "m1", "--adapter", "a1",
              "--tokens", "100,20", "--deadline-ms", "4000", "--json"}));
    REQUIRE(all);
    CHECK(all->prints_json);
    CHECK(all->query ==
          boost::json::parse(R"({"host":"shop.example","path":"/x","method":"GET",
              "key":"k","model":"m1","adapter":"a1","prompt_tokens":100,
              "output_tokens":20,"deadline_ms":4000})"));
}

// Guards against an error that does not say which argument is wrong.
TEST_CASE("explain names the invalid argument")
{
    struct row
    {
        std::vector<std::string> arguments;
        const char* name;
    };
    const std::vector<row> rows{
        {{"--host", "h", "--path", "/x"}, "--gateway"},
        {{"--gateway", "127.0.0.1:1", "--path", "/x"}, "--host"},
        {{"--gateway", "127.0.0.1:1", "--host", "h"}, "--path"},
        {{"--gateway", "local", "--host", "h", "--path", "/x"}, "--gateway"},
        {{"--gateway", "127.0.0.1:1", "--host", "h", "--path", "x"}, "--path"},
        {{"--gateway", "127.0.0.1:1", "--host", "", "--path", "/x"}, "--host"},
        {with({"--key", ""}), "--key"},
        {with({"--tokens", "100"}), "--tokens"},
        {with({"--tokens", "100,"}), "--tokens"},
        {with({"--tokens", "-1,5"}), "--tokens"},
        {with({"--tokens", "1,2,3"}), "--tokens"},
        {with({"--tokens", "1,4294967296"}), "--tokens"},
        {with({"--deadline-ms", "0"}), "--deadline-ms"},
        {with({"--deadline-ms", "1s"}), "--deadline-ms"},
        {with({"--adapter", "a1"}), "--adapter"},
        {with({"--models", "m1"}), "--models"},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        std::string message;
        try
        {
            app::read_explain_arguments(item.arguments);
        }
        catch (const state::error& failure)
        {
            message = failure.what();
        }
        catch (const boost::program_options::error& failure)
        {
            message = failure.what();
        }
        CHECK(message.find(item.name) != std::string::npos);
    }
    try
    {
        app::explain_command(required);
        FAIL("no gateway listens at the address");
    }
    catch (const app::nodes_unreachable& failure)
    {
        CHECK(failure.place() == "--gateway");
    }
}

// Guards against a text that leaves out the decision or its reasons.
TEST_CASE("explain prints the decision, its reasons and each candidate")
{
    const std::string text = app::format_explanation(boost::json::parse(R"({
        "decision":"refuse","status":429,"error":"rate_limited","reason":"limit 4/s",
        "retry_after_ms":1250,"gateway":"gateway-1","config_version":7,
        "route":{"name":"r","type":"streaming"},
        "team":{"name":"hule930","allowance":{"unit":"requests","left":0.5}},
        "service":"models","weights":"m1","rank":1,"time_limit_ms":4000,
        "waiting_here":2,"queue_ms":null,"queue_limit_ms":null,
        "candidates":[{"backend":"e1","zone":"zone-a","state":"usable","cost_ms":12.5}]
        })"));
    for (const char* const part :
         {"refuse with 429 rate_limited", "limit 4/s", "returns after 1250 ms",
          "configuration 7", "hule930", "left 0.5", "rank 1", "2 requests wait",
          "e1, zone zone-a, state usable, cost_ms 12.5"})
    {
        CAPTURE(text);
        CAPTURE(part);
        CHECK(text.find(part) != std::string::npos);
    }
}
