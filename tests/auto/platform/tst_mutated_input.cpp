#include "platform/adapter.hpp"
#include "protocol/backend_page.hpp"
#include "protocol/gateway_heartbeat.hpp"
#include "state/error.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <random>
#include <string>
#include <vector>

// Mutated input from peers, operators, engines and callers must give a value or a typed
// error, and never end the process. The fuzz targets cover more input.

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using state::milliseconds;

constexpr int mutations = 2000;
constexpr std::uint32_t seed = 20261204;

std::string mutate(std::string text, std::mt19937& random)
{
    const auto below = [&random](std::size_t limit)
    { return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random); };
    const std::size_t changes = 1 + below(4);
    for (std::size_t change = 0; change < changes && !text.empty(); ++change)
    {
        const std::size_t position = below(text.size());
        switch (below(5))
        {
        case 0:
            text[position] = static_cast<char>(below(256));
            break;
        case 1:
            text.erase(position, 1 + below(8));
            break;
        case 2:
            text.insert(position, 1 + below(8), static_cast<char>(below(256)));
            break;
        case 3:
            text.resize(position);
            break;
        default:
            text += text.substr(position, 1 + below(16));
        }
    }
    return text;
}

/// Any other exception than a typed error ends the test program.
void check_mutations(const std::string& sample,
                     const std::function<void(const std::string&)>& read)
{
    std::mt19937 random(seed);
    read(sample);
    int refused = 0;
    for (int number = 0; number < mutations; ++number)
    {
        const std::string text = mutate(sample, random);
        try
        {
            read(text);
        }
        catch (const state::error& failure)
        {
            ++refused;
            CHECK_FALSE(std::string(failure.what()).empty());
        }
    }
    CHECK(refused > 0);
}

protocol::gateway_heartbeat sample_heartbeat()
{
    protocol::gateway_heartbeat heartbeat;
    heartbeat.origin = {"g1",         7,    "zone-a", "10.0.0.1:1", "10.0.0.1:2",
                        "10.0.0.1:3", true, 125000};
    heartbeat.counter = 9;
    heartbeat.scope = protocol::load_scope::gateway;
    heartbeat.loads.push_back({"s1@4", 2, 900, 1, 44.5});
    heartbeat.rates.push_back({"models", "m1", "a1", 2.5, 900.0, 800.0, 3});
    heartbeat.weights.push_back({"e1", 4, 11, {{"m1", 3, {"a1", "a2"}}}});
    heartbeat.leaving.push_back({"e2", 5});
    heartbeat.suspects.push_back({"models",
                                  0xbad,
                                  1,
                                  {{"e1@4", milliseconds(90), milliseconds(10)}},
                                  milliseconds(7),
                                  2,
                                  milliseconds(9000),
                                  false});
    return heartbeat;
}

} // namespace

TEST_CASE("mutated messages of other gateways give a value or a typed error")
{
    check_mutations(protocol::encode_gateway_heartbeat(sample_heartbeat()),
                    [](const std::string& text)
                    { protocol::decode_gateway_heartbeat(text); });
    protocol::backend_page page;
    page.next = 9;
    page.records.push_back({4, "e1", "value", false});
    page.records.push_back({5, "e2", std::nullopt, true});
    check_mutations(protocol::encode_backend_page(page),
                    [](const std::string& text) { protocol::decode_backend_page(text); });
}

TEST_CASE("mutated configurations and backend entries give a value or a typed error")
{
    const auto adapter = platform::make_adapter();
    const std::string config =
        R"({"Version":7,"Routes":[{"Name":"r1","Host":"h","PathPrefix":"/a/",)"
        R"("RouteType":"streaming","TimeoutMs":20000.0,"TargetLatencyMs":800,)"
        R"("Priority":1,"MaxAttempts":2,"Resumable":true,"TargetGapMs":250,)"
        R"("TrafficSplit":[{"Service":"s1","Weight":90}]}],)"
        R"("Services":[{"Name":"s1","Engine":{"Slots":64,"KvCapacity":1000,)"
        R"("WeightSize":230000.5,"AdapterSlots":8,"LoadsPerS":2.1,"Models":[)"
        R"({"Name":"m1","WeightSize":72700.0,"LoadTimeS":9.5,"Adapters":2}]}}],)"
        R"("Limits":{"MaxHeaderBytes":100,"MaxBodyBytes":200}})";
    check_mutations(config, [&](const std::string& text)
                    { adapter->documents().read_config(text); });
    const std::string entry =
        R"({"Service":"s","Address":"1.2.3.4:80","Zone":"z","Version":"v1","Slots":64,)"
        R"("State":"ready","Sequence":7,"ColdRemainingMs":0,"born":5,)"
        R"("Models":[{"Name":"m1","Version":2,"Adapters":["a1"]}]})";
    check_mutations(entry, [&](const std::string& text)
                    { adapter->documents().read_backend("e1", text); });
}

TEST_CASE("mutated engine reports and header fields give a value or a typed error")
{
    const auto adapter = platform::make_adapter();
    const std::string report =
        R"({"Phase":"combined","Models":[{"Name":"m1","Version":1,"Adapters":["a1"]}],)"
        R"("Busy":false,"Sequence":2,"Pending":["m1/a2@1"],"Queued":1})";
    check_mutations(report,
                    [&](const std::string& text)
                    {
                        adapter->engines().read_report(
                            transport::json_response(transport::status::ok, text));
                    });
    // One field per line, so that a mutation can reach each of them.
    const std::string fields = "X-Pomelorouter-Token-Count: 1460,80\n"
                               "X-Pomelorouter-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\n"
                               "X-Pomelorouter-Deadline-Ms: 5000\n"
                               "Last-Event-Id: 12\n";
    check_mutations(
        fields,
        [&](const std::string& text)
        {
            transport::http_request request =
                transport::make_request(transport::verb::post, "/a/b");
            std::size_t begin = 0;
            while (begin < text.size())
            {
                const std::size_t end = std::min(text.find('\n', begin), text.size());
                const std::string line = text.substr(begin, end - begin);
                const std::size_t colon = std::min(line.find(": "), line.size());
                begin = end + 1;
                if (colon > 0 && colon < line.size())
                    request.insert(line.substr(0, colon), line.substr(colon + 2));
            }
            adapter->requests().read_request(request);
        });
    for (const char* const after : {"1", "0.25", "-1", "1e9", "nan", "inf", "0x10", "1 ",
                                    "9999999999999999999999", "", "Fri, 04 Dec 2026"})
    {
        transport::http_response head(transport::status::service_unavailable, 11);
        head.set("Retry-After", after);
        CHECK_NOTHROW(adapter->requests().read_response(head));
    }
}
