#include "platform/adapter.hpp"
#include "state/error.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file

const std::string entry_text = R"("Service":"s","Address":"1.2.3.4:80","Zone":"z",
 "Version":"v1","Slots":64,"State":"ready","Sequence":7,"ColdRemainingMs":0)";

transport::http_response response(unsigned code, const std::string& body)
{
    return transport::json_response(static_cast<transport::status>(code), body);
}

} // namespace

TEST_CASE("a configuration document gives routes, services, models and limits")
{
    const auto adapter = platform::make_adapter();
    const auto config = adapter->documents().read_config(R"({"Version":7,"Later":1,
      "Routes":[{"Name":"r1","Host":"h","PathPrefix":"/a/","RouteType":"streaming",
        "TimeoutMs":20000.0,"TargetLatencyMs":800,"Priority":1,"MaxAttempts":2,
        "Resumable":true,"TargetGapMs":250,
        "TrafficSplit":[{"Service":"s1","Weight":90},{"Service":"s2","Weight":10}]},
       {"Name":"r2","Host":"h","PathPrefix":"/b/","RouteType":"unheard","Service":"s2"}],
      "Services":[{"Name":"s1","MaxConnections":360,"Engine":{"Slots":64,"KvCapacity":1000,
        "WeightSize":230000.5,"AdapterSlots":8,"LoadsPerS":2.1,"Models":[{"Name":"m1",
        "WeightSize":72700.0,"LoadTimeS":9.5,"DiskLoadS":2.4,"WarmupS":1.2,"Adapters":2,
        "AdapterSizeMb":66.0}]}},{"Name":"s2"}],
      "Limits":{"MaxHeaderBytes":100,"MaxBodyBytes":200,"HeaderTimeoutMs":3,"IdleTimeoutMs":4}})");
    CHECK(config.version == 7);
    REQUIRE(config.routes.size() == 2);
    CHECK(config.routes[0].may_retry());
    CHECK(config.routes[0].timeout == state::milliseconds(20000));
    CHECK(config.routes[0].services.size() == 2);
    // Requests of an unknown route type are not retried.
    CHECK_FALSE(config.routes[1].may_retry());
    REQUIRE(config.find_service("s1") != nullptr);
    const auto& engine = *config.find_service("s1")->engine;
    CHECK(engine.find_model("m1")->store_load == state::milliseconds(9500));
    CHECK(engine.find_model("m1")->adapters == std::vector<std::string>{"a1", "a2"});
    CHECK_FALSE(config.find_service("s2")->engine.has_value());
    CHECK(config.limits.idle_timeout == state::milliseconds(4));
}

TEST_CASE("a configuration document gives teams and anonymous routes")
{
    const auto adapter = platform::make_adapter();
    const auto config = adapter->documents().read_config(R"({"Version":7,"Routes":[
      {"Host":"h","PathPrefix":"/a/","Service":"s","Anonymous":true},
      {"Host":"h","PathPrefix":"/b/","Service":"s","Anonymous":false}],
      "Tenants":[{"Name":"hule930","ApiKeys":["asnm","k7b2"],"Priority":1,
        "Unit":"token_stream","RawTokens":200,"RatePerS":343388,"Burst":343389},
       {"Name":"tagi2","ApiKeys":[],"RatePerS":0},
       {"Name":"x","Unit":"requests","RatePerS":2.5}]})");
    CHECK(config.routes[0].anonymous);
    CHECK_FALSE(config.routes[1].anonymous);
    REQUIRE(config.teams.size() == 3);
    const state::team& large = config.teams[0];
    CHECK(large.name == "hule930");
    CHECK(large.keys == std::vector<std::string>{"asnm", "k7b2"});
    CHECK(large.priority == 1);
    CHECK(large.allowance.unit == state::allowance_unit::tokens);
    CHECK(large.allowance.per_s == 343388.0);
    CHECK(large.allowance.burst == 343389.0);
    CHECK(large.allowance.raw_tokens == 200.0);
    CHECK_FALSE(config.teams[1].allowance.is_limited());
    CHECK_FALSE(config.teams[1].priority.has_value());
    CHECK(config.teams[2].allowance.unit == state::allowance_unit::requests);
    CHECK(config.teams[2].allowance.per_s == 2.5);
    for (const char* const none : {R"({"Version":1})", R"({"Version":1,"Tenants":[]})",
                                   R"({"Version":1,"Tenants":null})"})
        CHECK(adapter->documents().read_config(none).teams.empty());
    // A version that removes the last team must not open the gateway to all.
    const auto requires_keys = [&adapter](const char* text)
    { return adapter->documents().read_config(text).requires_keys; };
    CHECK(requires_keys(R"({"Version":1,"Tenants":[]})"));
    CHECK_FALSE(requires_keys(R"({"Version":1,"Tenants":null})"));
    CHECK_FALSE(requires_keys(R"({"Version":1})"));
}

// Guards against a wrong allowance or an ambiguous key that comes into force.
TEST_CASE("an odd team gives a typed error that names the place")
{
    const auto adapter = platform::make_adapter();
    struct row
    {
        std::string teams;
        std::string place;
    };
    const std::vector<row> rows{
        {R"(5)", "config/Tenants"},
        {R"([5])", "config/Tenants/0"},
        {R"([{"ApiKeys":["a"]}])", "config/Tenants/0/Name"},
        {R"([{"Name":""}])", "config/Tenants/0/Name"},
        {R"([{"Name":"a\r\nX: 1"}])", "config/Tenants/0/Name"},
        {R"([{"Name":"a","ApiKeys":"k"}])", "config/Tenants/0/ApiKeys"},
        {R"([{"Name":"a","ApiKeys":["k",5]}])", "config/Tenants/0/ApiKeys/1"},
        {R"([{"Name":"a","ApiKeys":[""]}])", "config/Tenants/0/ApiKeys/0"},
        {R"([{"Name":"a","ApiKeys":["k k"]}])", "config/Tenants/0/ApiKeys/0"},
        {R"([{"Name":"a"},{"Name":"a"}])", "config/Tenants/1/Name"},
        {R"([{"Name":"a","ApiKeys":["k"]},{"Name":"b","ApiKeys":["k"]}])",
         "config/Tenants/1/ApiKeys"},
        {R"([{"Name":"a","Priority":-1}])", "config/Tenants/0/Priority"},
        {R"([{"Name":"a","Priority":"high"}])", "config/Tenants/0/Priority"},
        {R"([{"Name":"a","Unit":"bytes"}])", "config/Tenants/0/Unit"},
        {R"([{"Name":"a","Unit":5}])", "config/Tenants/0/Unit"},
        {R"([{"Name":"a","RatePerS":-1}])", "config/Tenants/0/RatePerS"},
        {R"([{"Name":"a","RatePerS":"5"}])", "config/Tenants/0/RatePerS"},
        {R"([{"Name":"a","RatePerS":1e300}])", "config/Tenants/0/RatePerS"},
        {R"([{"Name":"a","Burst":-1}])", "config/Tenants/0/Burst"},
        {R"([{"Name":"a","RawTokens":-1}])", "config/Tenants/0/RawTokens"},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.teams);
        std::string place;
        try
        {
            adapter->documents().read_config(R"({"Version":1,"Tenants":)" + item.teams +
                                             "}");
        }
        catch (const state::error& failure)
        {
            place = failure.place();
        }
        CHECK(place == item.place);
    }
}

TEST_CASE("a valid backend entry is parsed and a malformed document gives a typed error")
{
    const auto adapter = platform::make_adapter();
    const auto& reader = adapter->documents();
    const auto entry = reader.read_backend(
        "i1", "{" + entry_text + R"(,"born":5,"RemainingMs":1500,"Models":[{"Name":"m1",
        "Version":3,"Adapters":["a1"]}],"Available":{"Resident":["m2"],"CachedOnDisk":["m3"]}})");
    CHECK(entry.incarnation == 5);
    CHECK(entry.remaining == state::milliseconds(1500));
    CHECK(entry.has_adapter("m1", "a1"));
    CHECK(entry.in_memory == std::vector<std::string>{"m2"});
    CHECK(entry.on_disk == std::vector<std::string>{"m3"});
    for (const std::string& text : std::vector<std::string>{
             "", "not json", "[]", "{}", "{" + entry_text.substr(14) + "}",
             R"({"Service":1,"Address":"1.2.3.4:80","State":"ready"})",
             R"({"Service":"s","Address":"nowhere","State":"ready"})",
             R"({"Service":"s","Address":"1.2.3.4:80","State":"sleeping"})",
             R"({"Service":"s","Address":"1.2.3.4:80"})", "\xff\xfe{"})
    {
        CAPTURE(text);
        CHECK_THROWS_AS(reader.read_backend("i1", text), state::error);
    }
    CHECK_THROWS_AS(reader.read_config("{}"), state::error);
    CHECK_THROWS_AS(reader.read_config(R"({"Version":1,"Routes":[{"Host":"h"}]})"),
                    state::error);
}

// Guards against entries of another writer that replace or block those of engines.
TEST_CASE("an odd backend entry gives a typed error")
{
    const auto adapter = platform::make_adapter();
    const auto& reader = adapter->documents();
    const auto entry_with = [](const std::string& members)
    {
        return R"({"Service":"s","Address":"1.2.3.4:80","State":"ready")" +
               (members.empty() ? "" : "," + members) + "}";
    };
    const auto entry_at = [](const std::string& address)
    { return R"({"Service":"s","State":"ready","Address":")" + address + R"("})"; };
    const std::string deep = std::string(100000, '[') + std::string(100000, ']');
    CHECK_NOTHROW(reader.read_backend("i1", entry_with("")));
    struct row
    {
        std::string name;
        std::string id;
        std::string text;
    };
    const std::vector<row> rows{
        {"deep nesting", "i1", entry_with(R"("Models":)" + deep)},
        {"deep nesting in an unknown member", "i1", entry_with(R"("More":)" + deep)},
        {"only nesting", "i1", deep},
        {"huge start", "i1", entry_with(R"("born":1e300)")},
        {"start beyond a double", "i1", entry_with(R"("born":1e999)")},
        {"start beyond 64 bits", "i1", entry_with(R"("born":99999999999999999999)")},
        {"start after the year 9999", "i1", entry_with(R"("born":9007199254740991)")},
        {"negative start", "i1", entry_with(R"("born":-1)")},
        {"text as start", "i1", entry_with(R"("born":"now")")},
        {"huge slots", "i1", entry_with(R"("Slots":1e300)")},
        {"slots beyond an int", "i1", entry_with(R"("Slots":4294967297)")},
        {"negative slots", "i1", entry_with(R"("Slots":-1)")},
        {"text as slots", "i1", entry_with(R"("Slots":"many")")},
        {"huge remaining time", "i1", entry_with(R"("RemainingMs":1e300)")},
        {"remaining time that overflows", "i1",
         entry_with(R"("RemainingMs":9223372036854775000)")},
        {"negative remaining time", "i1", entry_with(R"("RemainingMs":-1e9)")},
        {"number as models", "i1", entry_with(R"("Models":5)")},
        {"number as model", "i1", entry_with(R"("Models":[5])")},
        {"huge model version", "i1",
         entry_with(R"("Models":[{"Name":"m","Version":1e300}])")},
        {"number as zone", "i1", entry_with(R"("Zone":5)")},
        {"port out of range", "i1", entry_at("1.2.3.4:65536")},
        {"huge port", "i1", entry_at("1.2.3.4:99999999999999999999")},
        {"negative port", "i1", entry_at("1.2.3.4:-1")},
        {"port 0", "i1", entry_at("1.2.3.4:0")},
        {"no id", "", entry_with("")},
        {"line break in the id", "i1\r\nX-More: 1", entry_with("")},
        {"space in the id", "i 1", entry_with("")},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        CHECK_THROWS_AS(reader.read_backend(item.id, item.text), state::error);
    }
}

TEST_CASE("an engine order is encoded and its response and report are decoded")
{
    const auto adapter = platform::make_adapter();
    const auto& engines = adapter->engines();
    app::engine_order_request order;
    order.operation = app::order_operation::load;
    order.model = "m1";
    order.adapter = "a1";
    order.holder = "n1";
    order.fencing_token = 41;
    order.expected_sequence = 2;
    order.engine_id = "i1";
    const auto request = engines.order(order);
    CHECK(
        request.body() ==
        R"({"Operation":"loading","Model":"m1","Holder":"n1","FencingToken":41,"Adapter":"a1","Expected":2})");
    CHECK(request["X-Pomelorouter-Target-Instance"] == "i1");
    struct row
    {
        unsigned code;
        app::order_response response;
    };
    for (const row& item : std::vector<row>{{202, app::order_response::accepted},
                                            {200, app::order_response::already_done},
                                            {409, app::order_response::conflict},
                                            {412, app::order_response::fenced},
                                            {421, app::order_response::misdirected},
                                            {400, app::order_response::refused},
                                            {500, app::order_response::refused}})
        CHECK(engines.read_order_response(response(item.code, "")) == item.response);
    const auto report = engines.read_report(response(
        200, R"({"Sequence":3,"Busy":true,"Models":[{"Name":"m1","Adapters":["a1"]}]})"));
    CHECK(report.order_sequence == 3);
    CHECK(report.is_busy);
    CHECK(report.models.size() == 1);
    CHECK_THROWS_AS(engines.read_report(response(503, "{}")), state::error);
    CHECK_THROWS_AS(engines.read_report(response(200, "{}")), state::error);
    CHECK_THROWS_AS(engines.read_report(response(200, "")), state::error);
}

TEST_CASE("an address query and a readiness check are recognized by their path")
{
    const auto adapter = platform::make_adapter();
    const auto& dialect = adapter->directory();
    const auto query = dialect.read_query(transport::make_request(
        transport::verb::get, "/pomelorouter/resolve?Name=h&Region=r&Zone=zone-a"));
    REQUIRE(query);
    CHECK(query->zone == "zone-a");
    CHECK_FALSE(
        dialect.read_query(transport::make_request(transport::verb::get, "/other")));
    CHECK(dialect.make_response({"1.2.3.4:1", "1.2.3.4:2"}, state::milliseconds(2500))
              .body() == R"({"Addresses":["1.2.3.4:1","1.2.3.4:2"],"TtlS":2})");
    CHECK(dialect.is_readiness_check(
        transport::make_request(transport::verb::get, "/pomelorouter/readyz")));
}
