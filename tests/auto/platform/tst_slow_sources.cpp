#include "protocol/backend_page.hpp"
#include "scripted_peer.hpp"
#include "state/error.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

// A gateway reads the configuration and the list of backend servers from the store, from
// its aggregator, or from another gateway. Each of them may respond, and still be too
// slow.

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using test::gateway_fixture;
using test::raw_reply;
using test::response_text;
using test::scripted_peer;

/// Time in which a configuration has to be in force, and after which no request may be
/// sent to a backend server that is leaving.
constexpr state::milliseconds max_config_time{5000};
constexpr state::milliseconds max_drain_time{4000};
constexpr std::int64_t highest_capacity = 1'000'000'000'000;

raw_reply ok(const transport::http_request& request)
{
    return {{response_text("200 OK", std::string(request["X-Pomelorouter-Attempt-Id"]),
                           "done")}};
}

/// A response that makes progress and never ends.
raw_reply trickle()
{
    raw_reply reply{{"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", "x"}};
    reply.end = test::reply_end::endless;
    reply.pause = state::milliseconds(200);
    return reply;
}

raw_reply backend_page_reply(bool list_reachable)
{
    protocol::backend_page page;
    page.list_reachable = list_reachable;
    page.settings_reachable = list_reachable;
    raw_reply reply{{response_text("200 OK", "", protocol::encode_backend_page(page))}};
    reply.pause = state::milliseconds(100);
    return reply;
}

bool has_prefix(const transport::http_request& request, std::string_view prefix)
{
    return std::string_view(request.target()).substr(0, prefix.size()) == prefix;
}

state::milliseconds run_and_measure(gateway_fixture& test,
                                    const std::function<bool()>& condition)
{
    const state::time_point begin = state::now();
    test.run_until(condition);
    return state::since(begin);
}

} // namespace

// Guards against a configuration that is applied 10 s late because another gateway sends
// it slowly, although the store has it.
TEST_CASE("a configuration is read from the store if a peer sends it too slowly")
{
    gateway_fixture test;
    test.put_config(5);
    bool is_slow = false;
    scripted_peer aggregator(
        test,
        [&is_slow](const transport::http_request& request) -> raw_reply
        {
            if (has_prefix(request, "/gateway/backends"))
                return backend_page_reply(true);
            if (is_slow && has_prefix(request, "/gateway/config"))
                return trickle();
            return {{response_text("404 Not Found", "", "")}};
        },
        highest_capacity);
    aggregator.heartbeat.is_aggregator = true;
    aggregator.heartbeat.config_version = 5;
    test.start();
    // The read of the store that began before the aggregator responded ends meanwhile.
    test.run_until([&] { return aggregator.control.requests.size() > 30; });
    is_slow = true;
    test.put_config(9);
    aggregator.heartbeat.config_version = 9;
    const auto is_applied = [&test]
    { return test.gateway->shared_state().routes->config().version == 9; };
    CHECK(run_and_measure(test, is_applied) < max_config_time);
}

// Guards against requests to a leaving backend server because the aggregator sends the
// list slowly, although the store has it.
TEST_CASE("the list is read from the store if the aggregator sends it too slowly")
{
    gateway_fixture test;
    const auto& backend = test.add_backend("s1", "plain", ok);
    test.put_config(5);
    bool is_slow = false;
    scripted_peer aggregator(
        test,
        [&is_slow](const transport::http_request& request) -> raw_reply
        {
            if (has_prefix(request, "/gateway/backends"))
                return is_slow ? trickle() : backend_page_reply(false);
            return {{response_text("404 Not Found", "", "")}};
        },
        highest_capacity);
    aggregator.heartbeat.is_aggregator = true;
    test.start();
    is_slow = true;
    const std::size_t requests = aggregator.control.requests.size();
    test.run_until([&] { return aggregator.control.requests.size() > requests; });
    test.put_entry("s1", "plain", backend.address, "draining");
    const auto is_leaving = [&test]
    {
        const auto known = test.gateway->shared_state().directory.find("s1");
        return known != nullptr && known->is_leaving;
    };
    CHECK(run_and_measure(test, is_leaving) < max_drain_time);
}

// Guards against gateways that take the list of their aggregator for current although its
// last read of the store is seconds old.
TEST_CASE("an aggregator does not vouch for a list that it read long ago")
{
    gateway_fixture test;
    test.add_backend("s1", "plain", ok);
    test.put_config(5);
    test.start();
    test.store.is_trickling = true;
    bool is_current = true;
    const auto ask = [&]() -> boost::asio::awaitable<void>
    {
        while (is_current)
        {
            const auto response = co_await test.client.fetch(
                test.gateway->own_settings().control_listen,
                transport::make_request(transport::verb::get,
                                        "/gateway/backends?from=1000"),
                {});
            is_current = protocol::decode_backend_page(response.body()).list_reachable;
        }
    };
    boost::asio::co_spawn(test.loop, ask(), boost::asio::detached);
    CHECK(run_and_measure(test, [&is_current] { return !is_current; }) < max_drain_time);
}

// Guards against a gateway that starts without the store and stays alone for 10 s because
// its first seed responds slowly.
TEST_CASE("the next seed is asked if one sends its members too slowly")
{
    gateway_fixture test;
    test.store.is_down = true;
    const test::raw_backend slow_seed(test.loop, [](const transport::http_request&)
                                      { return trickle(); });
    std::string members;
    scripted_peer peer(
        test,
        [&members](const transport::http_request&) -> raw_reply
        { return {{response_text("200 OK", "", members)}}; },
        1);
    members = "[" + peer.member_json() + "]";
    test.settings.seeds = {slow_seed.address, peer.control.address};
    test.gateway = std::make_unique<app::gateway>(
        test.loop, test.settings, test.settings_path, *test.adapter, test.counters);
    test.gateway->start();
    CHECK(run_and_measure(test, [&peer] { return peer.is_known(); }) < max_config_time);
}
