#include "protocol/backend_page.hpp"
#include "scripted_peer.hpp"
#include "state/error.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Bytes without end in what a gateway reads for itself: reports and responses to orders
// of engines, pages of the store, responses of other gateways, and requests on its
// internal listeners. Responses to callers' requests are tested in tst_trouble.cpp.

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using test::gateway_fixture;
using test::raw_backend;
using test::raw_reply;
using test::reply_end;
using test::scripted_peer;

/// The kernel's buffers of a connection take up megabytes besides the bytes that a
/// gateway reads: 6 MiB at the receiver and 4 MiB at the sender by default, and 32 MiB at
/// the receiver on hosts for fast networks.
constexpr std::uint64_t socket_buffer_bytes = 40 * 1024 * 1024;
/// Limits of the responses, see "Limits of what a gateway reads" in docs/design.md.
constexpr std::uint64_t control_bytes = 64 * 1024;
constexpr std::uint64_t changes_bytes = 8 * 1024 * 1024;
constexpr std::uint64_t config_bytes = 1024 * 1024;
constexpr std::uint64_t members_bytes = 1024 * 1024;
constexpr std::int64_t highest_capacity = 1'000'000'000'000;

raw_reply endless_body()
{
    return {{"HTTP/1.1 200 OK\r\n\r\n", std::string(64 * 1024, '[')}, reply_end::endless};
}

raw_reply json_reply(const std::string& status_line, const std::string& body)
{
    return {{test::response_text(status_line, "", body)}};
}

bool has_prefix(const transport::http_request& request, std::string_view prefix)
{
    return std::string_view(request.target()).substr(0, prefix.size()) == prefix;
}

const std::string empty_report = R"({"Models":[],"Busy":false,"Sequence":1})";

} // namespace

// Guards against an instance that runs out of memory because faulty engines answer
// its control calls without end.
TEST_CASE("an endless response to a control call of an engine is cut off")
{
    for (const std::string_view faulty_call :
         {"/pomelorouter/report", "/pomelorouter/order"})
    {
        CAPTURE(std::string(faulty_call));
        gateway_fixture test;
        int faulty_calls = 0;
        raw_backend& engine =
            test.add_backend("e1", "models",
                             [&](const transport::http_request& request) -> raw_reply
                             {
                                 if (has_prefix(request, faulty_call))
                                 {
                                     ++faulty_calls;
                                     return endless_body();
                                 }
                                 if (has_prefix(request, "/pomelorouter/report"))
                                     return json_reply("200 OK", empty_report);
                                 return json_reply("404 Not Found", "");
                             });
        test.put_config(1, 2500);
        test.start();
        // The request makes the gateway load its model.
        test.fetch(test.request("/stream/x", "a1", "m1"));
        test.run_until([&] { return faulty_calls > 0 && engine.closed >= faulty_calls; });
        const auto calls = static_cast<std::uint64_t>(faulty_calls);
        CHECK(engine.written_bytes < calls * (control_bytes + socket_buffer_bytes));
    }
}

// Guards against an instance that runs out of memory because the store answers
// without end.
TEST_CASE("an endless response of the store is cut off with a typed error")
{
    struct row
    {
        std::string name;
        std::function<boost::asio::awaitable<void>(app::keyed_store&)> call;
        state::error_code expected;
    };
    const std::vector<row> rows{
        {"changes",
         [](app::keyed_store& store) -> boost::asio::awaitable<void>
         { co_await store.changes(app::store_topic::settings, 7, state::seconds(1)); },
         state::error_code::log_truncated},
        {"newest",
         [](app::keyed_store& store) -> boost::asio::awaitable<void>
         { co_await store.newest(app::store_topic::members); },
         state::error_code::too_large},
        {"append",
         [](app::keyed_store& store) -> boost::asio::awaitable<void>
         { co_await store.append(app::store_topic::lease, "key", "value", 3); },
         state::error_code::too_large},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        gateway_fixture test;
        raw_backend faulty(test.loop,
                           [](const transport::http_request&) { return endless_body(); });
        const auto store = test.adapter->make_store(faulty.address, test.client);
        std::optional<state::error> refused;
        const auto call = [&]() -> boost::asio::awaitable<void>
        {
            try
            {
                co_await item.call(*store);
            }
            catch (const state::error& failure)
            {
                refused = failure;
            }
        };
        boost::asio::co_spawn(test.loop, call(), boost::asio::detached);
        test.run_until([&] { return refused && faulty.closed == 1; });
        CHECK(to_string(refused->code()) == to_string(item.expected));
        CHECK(faulty.written_bytes < changes_bytes + socket_buffer_bytes);
    }
}

// Guards against an instance that collects pages of a topic without end.
TEST_CASE("a topic of endless pages is refused with a typed error")
{
    gateway_fixture test;
    int pages = 0;
    const std::string value(256 * 1024, 'A');
    raw_backend faulty(test.loop,
                       [&](const transport::http_request&)
                       {
                           const std::string key = "key-" + std::to_string(++pages);
                           const boost::json::object item{
                               {"Key", key}, {"Value", value}, {"Offset", pages}};
                           return json_reply("200 OK",
                                             boost::json::serialize(boost::json::object{
                                                 {"items", boost::json::array{item}},
                                                 {"HasMore", true},
                                                 {"EndOffset", 100000}}));
                       });
    const auto store = test.adapter->make_store(faulty.address, test.client);
    std::optional<state::error> refused;
    const auto call = [&]() -> boost::asio::awaitable<void>
    {
        try
        {
            co_await store->newest(app::store_topic::backend_servers);
        }
        catch (const state::error& failure)
        {
            refused = failure;
        }
    };
    boost::asio::co_spawn(test.loop, call(), boost::asio::detached);
    test.run_until([&] { return refused || pages > 500; });
    REQUIRE(refused);
    CHECK(to_string(refused->code()) == to_string(state::error_code::too_large));
}

// Guards against an instance that runs out of memory because another gateway answers
// without end.
TEST_CASE("an endless response of another gateway is cut off")
{
    struct row
    {
        std::string faulty_call;
        std::uint64_t max_bytes;
    };
    const std::vector<row> rows{{"/gateway/config", config_bytes},
                                {"/gateway/backends", protocol::backend_page_max_bytes}};
    for (const row& item : rows)
    {
        CAPTURE(item.faulty_call);
        gateway_fixture test;
        test.put_config(5);
        int faulty_calls = 0;
        scripted_peer peer(
            test,
            [&](const transport::http_request& request) -> raw_reply
            {
                if (!has_prefix(request, item.faulty_call))
                    return json_reply("404 Not Found", "");
                ++faulty_calls;
                return endless_body();
            },
            highest_capacity);
        peer.heartbeat.is_aggregator = true;
        peer.heartbeat.config_version = 9;
        test.start();
        test.run_until(
            [&] { return faulty_calls > 0 && peer.control.closed >= faulty_calls; });
        const auto calls = static_cast<std::uint64_t>(faulty_calls);
        CHECK(peer.control.written_bytes <
              calls * (item.max_bytes + socket_buffer_bytes));
    }
}

// Guards against a seed that keeps an instance from starting by a list without end.
TEST_CASE("an endless list of members is cut off")
{
    gateway_fixture test;
    test.store.is_down = true;
    raw_backend seed(test.loop,
                     [](const transport::http_request&) { return endless_body(); });
    test.settings.seeds = {seed.address};
    test.gateway = std::make_unique<app::gateway>(
        test.loop, test.settings, test.settings_path, *test.adapter, test.counters);
    test.gateway->start();
    test.run_until([&seed] { return seed.closed > 0; });
    CHECK(seed.written_bytes < static_cast<std::uint64_t>(seed.closed) *
                                   (members_bytes + socket_buffer_bytes));
}

// Guards against bodies that fill the memory of an instance through a listener whose
// requests need none.
TEST_CASE("an internal listener refuses a body before it is read")
{
    gateway_fixture test;
    test.put_config(1);
    test.start();
    const auto& settings = test.gateway->own_settings();
    for (const std::string& address :
         {settings.control_listen, settings.directory_listen})
    {
        CAPTURE(address);
        auto request = transport::make_request(transport::verb::post, "/gateway/permits",
                                               std::string(1024 * 1024, 'x'));
        const auto response = test.fetch_from(address, request);
        REQUIRE(response);
        CHECK(response->result_int() == 413);
    }
}
