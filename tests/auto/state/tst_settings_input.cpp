#include "state/error.hpp"
#include "state/json_reader.hpp"
#include "state/json_text.hpp"
#include "state/process_settings.hpp"
#include "state/settings.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

#include <functional>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using state::error_code;

struct bad_input
{
    std::string text;
    error_code code;
    /// Text that the place of the error must contain.
    std::string place;
};

void check_refused(const bad_input& item,
                   const std::function<void(const boost::json::value&)>& read)
{
    CAPTURE(item.text);
    try
    {
        read(state::parse_json(item.text, "file.json"));
        FAIL("the input was accepted");
    }
    catch (const state::error& failure)
    {
        CHECK(to_string(failure.code()) == to_string(item.code));
        CHECK(failure.place().find(item.place) != std::string::npos);
        CHECK(failure.place().starts_with("file.json"));
        CHECK_FALSE(failure.expected().empty());
    }
}

std::string process(const std::string& member, const std::string& value)
{
    boost::json::object object{{"node_id", "n"},
                               {"zone", "z"},
                               {"listen", "127.0.0.1:0"},
                               {"peer_listen", "127.0.0.1:0"},
                               {"platform", "127.0.0.1:1"}};
    if (value.empty())
        object.erase(member);
    else
        object[member] = boost::json::parse(value);
    return boost::json::serialize(object);
}

} // namespace

// Guards against a node that starts with invalid or misread settings.
TEST_CASE("invalid process settings are rejected with the place of the error")
{
    const bad_input rows[] = {
        {"", error_code::invalid_json, ""},
        {"{\"node_id\":", error_code::invalid_json, "byte"},
        {"[]", error_code::wrong_type, "#"},
        {process("node_id", ""), error_code::missing_key, "#/node_id"},
        {process("node_id", "\"\""), error_code::invalid_argument, "#/node_id"},
        {process("node_id", "\"a.b\""), error_code::invalid_argument, "#/node_id"},
        {process("node_id", "7"), error_code::wrong_type, "#/node_id"},
        {process("listen", "\"localhost\""), error_code::invalid_argument, "#/listen"},
        {process("listen", "\":80\""), error_code::invalid_argument, "#/listen"},
        {process("platform", "\"1.2.3.4:x\""), error_code::invalid_argument,
         "#/platform"},
        {process("peer_listen", "null"), error_code::wrong_type, "#/peer_listen"},
        {process("seed_peers", "[1]"), error_code::wrong_type, "#/seed_peers"},
        {process("log_level", "\"loud\""), error_code::out_of_range, "#/log_level"},
        {process("max_connections", "0"), error_code::out_of_range, "#/max_connections"},
        {process("max_connections", "1.5"), error_code::wrong_type, "#/max_connections"},
        {process("max_body_bytes", "99999999999"), error_code::out_of_range,
         "#/max_body_bytes"},
        {process("zones", "\"z\""), error_code::unknown_key, "#/zones"},
    };
    for (const bad_input& item : rows)
    {
        check_refused(item, [](const boost::json::value& value)
                      { state::read_process_settings(value, "file.json"); });
    }
}

// Guards against a node that applies an invalid settings tree.
TEST_CASE("an invalid settings tree is rejected with the JSON pointer of the error")
{
    const auto model = [](const std::string& body)
    { return R"({"services":{"s":{"models":{"m":)" + body + "}}}}"; };
    const bad_input rows[] = {
        {"[]", error_code::wrong_type, "#"},
        {"{} {}", error_code::invalid_json, "byte"},
        {R"({"service":{}})", error_code::unknown_key, "#/service"},
        {R"({"services":[]})", error_code::wrong_type, "#/services"},
        {R"({"services":{"a b":{}}})", error_code::invalid_argument, "#/services/a b"},
        {R"({"services":{"s":{"kind":"odd"}}})", error_code::out_of_range,
         "#/services/s/kind"},
        {R"({"services":{"s":{"kind":"plain","models":{"m":{"bytes":1}}}}})",
         error_code::invalid_argument, "#/services/s/models"},
        {model("{}"), error_code::missing_key, "#/services/s/models/m/bytes"},
        {model(R"({"bytes":0})"), error_code::out_of_range,
         "#/services/s/models/m/bytes"},
        {model(R"({"bytes":"1G"})"), error_code::wrong_type,
         "#/services/s/models/m/bytes"},
        {model(R"({"bytes":1,"places":["mars"]})"), error_code::unknown_reference,
         "#/services/s/models/m/places"},
        {model(R"({"bytes":1,"attributes":{"min_copies":5,"max_copies":2}})"),
         error_code::out_of_range, "#/services/s/models/m/attributes"},
        {model(R"({"bytes":1,"attributes":{"address_ttl_s":5}})"),
         error_code::unknown_key, "#/services/s/models/m/attributes/address_ttl_s"},
        {model(R"({"bytes":1,"adapters":{"x":{"bytes":-1}}})"), error_code::out_of_range,
         "#/services/s/models/m/adapters/x/bytes"},
        {R"({"attributes":{"policy":"best"}})", error_code::out_of_range,
         "#/attributes/policy"},
        {R"({"attributes":{"deadline_ms":0}})", error_code::out_of_range,
         "#/attributes/deadline_ms"},
        {R"({"attributes":{"speed":1}})", error_code::unknown_key, "#/attributes/speed"},
        {R"({"store":{"loads_per_s":0}})", error_code::out_of_range,
         "#/store/loads_per_s"},
        {R"({"places":{"r":{"zones":{"z":{}}},"q":{"zones":{"z":{}}}}})",
         error_code::invalid_argument, "#/places/q/zones/z"},
        {R"({"places":{"r":{"zones":{"z":{"distance_us":{"y":-1}}}}}})",
         error_code::out_of_range, "distance_us/y"},
    };
    for (const bad_input& item : rows)
    {
        check_refused(item, [](const boost::json::value& value)
                      { state::resolve_settings(value, "file.json"); });
    }
    CHECK_THROWS_AS(state::parse_json(std::string(100, '['), "file.json"), state::error);
}

// Guards against example settings that nodes no longer accept.
TEST_CASE("the example settings are valid and have the sizes of both deployments")
{
    struct row
    {
        const char* file;
        std::size_t zones;
        std::size_t models;
        std::size_t adapters;
        double loads_per_s;
        std::int64_t adapters_at_once;
        const char* plain;
    };
    for (const row& item : {row{"thanh-binh", 3, 30, 115, 2.0, 190, "ledger"},
                            row{"badgewerk", 4, 30, 120, 2.5, 40, "print"}})
    {
        CAPTURE(item.file);
        const std::string path =
            std::string(POMELOROUTER_SOURCE_DIR) + "/settings/" + item.file + ".json";
        const state::settings settings = state::resolve_settings(
            state::parse_json(state::read_file(path), path), path);
        std::size_t models = 0;
        std::size_t adapters = 0;
        for (const auto& [name, service] : settings.services)
        {
            models += service.models.size();
            for (const auto& [model, entry] : service.models)
                adapters += entry.adapters.size();
        }
        CHECK(settings.zones.size() == item.zones);
        CHECK(models == item.models);
        CHECK(adapters == item.adapters);
        CHECK(settings.store.loads_per_s == doctest::Approx(item.loads_per_s));
        CHECK(settings.store.adapters_at_once == item.adapters_at_once);
        CHECK(settings.services.at(item.plain).kind == state::service_kind::plain);
    }
}

// Guards against showing the operator other changes than those that are applied.
TEST_CASE("changes are listed with their JSON pointers")
{
    const auto before = boost::json::parse(R"({"a":{"x/y":1,"k":[1]},"b":2})");
    const auto after = boost::json::parse(R"({"a":{"x/y":2,"k":[1]},"c":{"d":3}})");
    const auto changes = state::compare_json(before, after);
    REQUIRE(changes.size() == 3);
    CHECK(state::format_change(changes[0]) == "~ /a/x~1y 1 -> 2");
    CHECK(state::format_change(changes[1]) == "- /b 2");
    CHECK(state::format_change(changes[2]) == R"(+ /c {"d":3})");
    CHECK(state::compare_json(after, after).empty());
    CHECK(boost::json::parse(state::format_pretty(after)) == after);
}
