#include "scripted_peer.hpp"
#include "state/error.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// Keys and allowances of teams.

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using test::gateway_fixture;
using test::raw_backend;
using test::raw_reply;
using test::response_text;

raw_reply ok(const transport::http_request& request)
{
    return {{response_text("200 OK", std::string(request["X-Pomelorouter-Attempt-Id"]),
                           "done")}};
}

boost::json::object tenant(const std::string& name, const std::vector<std::string>& keys)
{
    boost::json::array list;
    for (const std::string& key : keys)
        list.emplace_back(key);
    return {{"Name", name}, {"ApiKeys", std::move(list)}};
}

transport::http_request with_key(transport::http_request request,
                                 const std::string& authorization)
{
    request.set("Authorization", authorization);
    return request;
}

void run_until_version(gateway_fixture& test, std::int64_t version)
{
    test.run_until(
        [&] { return test.gateway->shared_state().routes->config().version == version; });
}

unsigned status_of(gateway_fixture& test, const transport::http_request& request)
{
    const auto response = test.fetch(request);
    return response ? response->result_int() : 0;
}

/// Sends a request and keeps its response.
boost::asio::awaitable<void> fetch_into(gateway_fixture& test,
                                        transport::http_request request,
                                        std::optional<transport::http_response>& response)
{
    const transport::http_call_options options;
    response =
        co_await test.client.fetch(test.gateway->own_settings().listen, request, options);
}

} // namespace

// Guards against a request that runs although no team holds its key.
TEST_CASE("a request without the key of a team is refused and not run")
{
    gateway_fixture test;
    const raw_backend& backend = test.add_backend("s1", "plain", ok);
    test.tenants = {tenant("hule930", {"asnm7", "k7b2"}), tenant("tagi2", {"p0"})};
    test.put_config(1);
    test.start();
    const auto order = test.request("/once/x", "a1");
    for (const std::string& authorization : std::vector<std::string>{
             "Bearer other", "Bearer", "Bearer ", "Basic asnm7", "asnm7", "Bearer asnm",
             "Bearer asnm7 k7b2", "Bearer ASNM7", "Bearer asnm7, Bearer k7b2"})
    {
        CAPTURE(authorization);
        const auto response = test.fetch(with_key(order, authorization));
        REQUIRE(response);
        CHECK(response->result_int() == 401);
        CHECK(response->body().find("unauthorized") != std::string::npos);
    }
    CHECK(status_of(test, order) == 401);
    auto two_keys = with_key(order, "Bearer asnm7");
    two_keys.insert("Authorization", "Bearer k7b2");
    CHECK(status_of(test, two_keys) == 401);
    CHECK(backend.requests.empty());
    for (const std::string& authorization :
         std::vector<std::string>{"Bearer asnm7", "bearer  k7b2 ", "BEARER p0"})
    {
        CAPTURE(authorization);
        CHECK(status_of(test, with_key(order, authorization)) == 200);
    }
    // The host has no such route, whoever asks.
    CHECK(status_of(test, test.request("/none/x", "a1")) == 404);
}

// Guards against a key that reaches a backend server, and against a caller that passes
// for another team.
TEST_CASE("a backend server receives the team of the key, and never the key")
{
    gateway_fixture test;
    const raw_backend& backend = test.add_backend("s1", "plain", ok);
    test.tenants = {tenant("hule930", {"asnm7"}), tenant("tagi2", {"p0"})};
    test.put_config(1);
    test.start();
    auto claimed = with_key(test.request("/once/x", "a1"), "Bearer asnm7");
    claimed.set("X-Pomelorouter-Tenant", "tagi2");
    auto claimed_twice = claimed;
    claimed_twice.insert("x-pomelorouter-tenant", "tagi2");
    auto listed = claimed;
    listed.set(transport::field::connection,
               "X-Pomelorouter-Tenant, Authorization, keep-alive");
    const std::vector<transport::http_request> requests{
        with_key(test.request("/once/x", "a1"), "Bearer asnm7"), claimed, claimed_twice,
        listed};
    for (const transport::http_request& request : requests)
    {
        CHECK(status_of(test, request) == 200);
        REQUIRE_FALSE(backend.requests.empty());
        const transport::http_request& received = backend.requests.back();
        CHECK(received.count("X-Pomelorouter-Tenant") == 1);
        CHECK(received["X-Pomelorouter-Tenant"] == "hule930");
        CHECK(received.count("Authorization") == 0);
    }
    CHECK(backend.requests.size() == requests.size());
}

// Guards against an anonymous route that requires a key, or passes one on.
TEST_CASE("an anonymous route needs no key, and tells the team of a known one")
{
    gateway_fixture test;
    const raw_backend& backend = test.add_backend("s1", "plain", ok);
    test.tenants = {tenant("hule930", {"asnm7"})};
    test.put_config(1);
    test.start();
    struct row
    {
        std::string authorization;
        std::string team;
    };
    for (const row& item :
         std::vector<row>{{"", ""}, {"Bearer none", ""}, {"Bearer asnm7", "hule930"}})
    {
        CAPTURE(item.authorization);
        auto request = test.request("/open/x", "a1");
        request.set("X-Pomelorouter-Tenant", "tagi2");
        if (!item.authorization.empty())
            request.set("Authorization", item.authorization);
        CHECK(status_of(test, request) == 200);
        REQUIRE_FALSE(backend.requests.empty());
        const transport::http_request& received = backend.requests.back();
        CHECK(received["X-Pomelorouter-Tenant"] == item.team);
        CHECK(received.count("Authorization") == 0);
    }
}

// Guards against a gateway that takes credentials from services whose operator does not
// use teams, and against callers that name a team themselves.
TEST_CASE("without teams a request keeps its credentials and names no team")
{
    gateway_fixture test;
    const raw_backend& backend = test.add_backend("s1", "plain", ok);
    test.put_config(1);
    test.start();
    auto request = with_key(test.request("/once/x", "a1"), "Basic dXNlcjpwYXNz");
    request.set("X-Pomelorouter-Tenant", "tagi2");
    CHECK(status_of(test, request) == 200);
    REQUIRE(backend.requests.size() == 1);
    CHECK(backend.requests.back()["Authorization"] == "Basic dXNlcjpwYXNz");
    CHECK(backend.requests.back().count("X-Pomelorouter-Tenant") == 0);
}

// Guards against a withdrawn key that is still accepted, and a new one that is not.
TEST_CASE("keys change with the configuration")
{
    gateway_fixture test;
    const raw_backend& backend = test.add_backend("s1", "plain", ok);
    test.tenants = {tenant("hule930", {"old"})};
    test.put_config(1);
    test.start();
    const auto order = test.request("/once/x", "a1");
    CHECK(status_of(test, with_key(order, "Bearer old")) == 200);
    test.tenants = {tenant("hule930", {"new"})};
    test.put_config(2);
    run_until_version(test, 2);
    CHECK(status_of(test, with_key(order, "Bearer old")) == 401);
    CHECK(status_of(test, with_key(order, "Bearer new")) == 200);
    CHECK(backend.requests.size() == 2);
}

// Guards against a request that runs with a key that was withdrawn while the request
// waited for an engine.
TEST_CASE("a waiting request whose key is withdrawn does not run")
{
    gateway_fixture test;
    int streams = 0;
    const auto engine = [&streams](const transport::http_request& request) -> raw_reply
    {
        if (!request.target().starts_with("/stream/"))
            return {{response_text("404 Not Found", "", "")}};
        ++streams;
        const std::string attempt(request["X-Pomelorouter-Attempt-Id"]);
        return {{response_text("200 OK", attempt, test::event(1))}};
    };
    const raw_backend& backend = test.add_backend("e1", "models", engine);
    constexpr int timeout_ms = 20000;
    constexpr int target_ms = 10000;
    test.tenants = {tenant("hule930", {"old", "kept"})};
    test.put_config(1, timeout_ms, 2, target_ms);
    test.start();
    const auto waiting_request = [&](const std::string& attempt, const std::string& key)
    {
        auto request =
            with_key(test.request("/stream/x", attempt, "m1"), "Bearer " + key);
        request.set("X-Pomelorouter-Deadline-Ms", std::to_string(timeout_ms));
        return request;
    };
    std::optional<transport::http_response> withdrawn;
    std::optional<transport::http_response> kept;
    boost::asio::co_spawn(test.loop,
                          fetch_into(test, waiting_request("a1", "old"), withdrawn),
                          boost::asio::detached);
    boost::asio::co_spawn(test.loop,
                          fetch_into(test, waiting_request("a2", "kept"), kept),
                          boost::asio::detached);
    test.run_until([&] { return test.gateway->shared_state().queue.size() == 2; });
    test.tenants = {tenant("hule930", {"kept"})};
    test.put_config(2, timeout_ms, 2, target_ms);
    run_until_version(test, 2);
    test.put_entry("e1", "models", backend.address, "ready", {"m1"});
    test.run_until([&] { return withdrawn && kept; });
    CHECK(withdrawn->result_int() == 401);
    CHECK(kept->result_int() == 200);
    CHECK(streams == 1);
}

// Guards against a final refusal of a key or route that the operator has just added.
TEST_CASE("an unknown key or route is refused for a while if a newer version exists")
{
    gateway_fixture test;
    const raw_backend& backend = test.add_backend("s1", "plain", ok);
    test.tenants = {tenant("hule930", {"old"})};
    test.put_config(5);
    test::scripted_peer peer(
        test,
        [](const transport::http_request&) -> raw_reply
        { return {{response_text("503 Service Unavailable", "", "")}}; },
        1);
    test.start();
    const auto order = with_key(test.request("/once/x", "a1"), "Bearer new");
    const auto unknown_route = with_key(test.request("/none/x", "a1"), "Bearer old");
    CHECK(status_of(test, order) == 401);
    CHECK(status_of(test, unknown_route) == 404);
    peer.heartbeat.config_version = 6;
    test.run_until([&]
                   { return test.gateway->shared_state().is_newer_config_announced(); });
    for (const transport::http_request& request : {order, unknown_route})
    {
        const auto response = test.fetch(request);
        REQUIRE(response);
        CHECK(response->result_int() == 503);
        CHECK(response->body().find("not_run") != std::string::npos);
        CHECK(std::stod(std::string((*response)["Retry-After"])) < 1.0);
    }
    CHECK(status_of(test, with_key(test.request("/once/x", "a1"), "Bearer old")) == 200);
    test.tenants = {tenant("hule930", {"new"})};
    test.put_config(6);
    run_until_version(test, 6);
    CHECK(status_of(test, order) == 200);
    CHECK(status_of(test, unknown_route) == 404);
    CHECK(backend.requests.size() == 2);
}

// Guards against a team that uses more than its allowance, and against a refusal of a
// request that has run.
TEST_CASE("a request beyond the allowance of its team is refused at once and not run")
{
    gateway_fixture test;
    const raw_backend& backend = test.add_backend("s1", "plain", ok);
    boost::json::object small = tenant("hule930", {"asnm7"});
    small["Unit"] = "requests";
    small["RatePerS"] = 4;
    small["Burst"] = 4;
    test.tenants = {small, tenant("tagi2", {"p0"})};
    test.put_config(1);
    test.start();
    const auto order = with_key(test.request("/once/x", "a1"), "Bearer asnm7");
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::optional<transport::http_response> refusal;
    while (answered == 0 || refused == 0)
    {
        const auto response = test.fetch(order);
        REQUIRE(response);
        if (response->result_int() == 200)
        {
            ++answered;
            continue;
        }
        ++refused;
        refusal = response;
        CHECK(response->result_int() == 429);
        CHECK(response->body().find("rate_limited") != std::string::npos);
        CHECK(response->body().find("not_run") != std::string::npos);
        CHECK(response->count("Retry-After") == 1);
        test.run_for(state::milliseconds(20));
    }
    CHECK(backend.requests.size() == answered);
    CHECK(test.counters.value("team_requests_refused_total") ==
          static_cast<std::int64_t>(refused));
    // Another team and the same team later have room.
    CHECK(status_of(test, with_key(test.request("/once/x", "a2"), "Bearer p0")) == 200);
    const double wait_s = std::stod(std::string((*refusal)["Retry-After"]));
    CHECK(wait_s <= 8.0);
    test.run_for(state::milliseconds(static_cast<int>(wait_s * 1000.0) + 600));
    CHECK(status_of(test, order) == 200);
    CHECK(test.counters.value("team_limit_per_s{team=\"hule930\"}") == 4);
}

// Guards against an engine that ranks requests by their route although their team has a
// priority of its own.
TEST_CASE("the priority of a team takes precedence over that of the route")
{
    gateway_fixture test;
    const raw_backend& engine = test.add_backend(
        "e1", "models",
        [](const transport::http_request& request) -> raw_reply
        {
            if (!request.target().starts_with("/stream/"))
                return {{response_text("404 Not Found", "", "")}};
            const std::string attempt(request["X-Pomelorouter-Attempt-Id"]);
            return {{response_text("200 OK", attempt, test::event(1))}};
        },
        {"m1"});
    boost::json::object urgent = tenant("hule930", {"asnm7"});
    urgent["Priority"] = 4;
    test.tenants = {urgent, tenant("tagi2", {"p0"})};
    test.put_config(1);
    test.start();
    const auto priority_of = [&](const std::string& key)
    {
        const auto request =
            with_key(test.request("/stream/x", "of-" + key, "m1"), "Bearer " + key);
        CHECK(status_of(test, request) == 200);
        for (const transport::http_request& received : engine.requests)
        {
            if (received["X-Pomelorouter-Attempt-Id"] == "of-" + key)
                return std::string(received["X-Pomelorouter-Request-Priority"]);
        }
        return std::string();
    };
    CHECK(priority_of("asnm7") == "4");
    CHECK(priority_of("p0") == "1");
}

// Guards against the use of other gateways that is not counted.
TEST_CASE("the use of a team at other gateways is taken from heartbeats")
{
    gateway_fixture test;
    test.add_backend("s1", "plain", ok);
    boost::json::object limited = tenant("hule930", {"asnm7"});
    limited["RatePerS"] = 10;
    limited["Burst"] = 10;
    test.tenants = {limited};
    test.put_config(1);
    constexpr std::int64_t highest_capacity = 1'000'000'000'000;
    test::scripted_peer aggregator(
        test,
        [](const transport::http_request&) -> raw_reply
        { return {{response_text("404 Not Found", "", "")}}; },
        highest_capacity);
    aggregator.heartbeat.is_aggregator = true;
    aggregator.heartbeat.scope = protocol::load_scope::others;
    aggregator.heartbeat.team_reporters = 2;
    aggregator.heartbeat.teams = {{"hule930", 500.0, 9.0}};
    test.start();
    const auto& allowances = test.gateway->shared_state().allowances;
    test.run_until([&] { return allowances.covered_gateways() == 3; });
    CHECK(allowances.view("hule930").asked_per_s >= 500.0);
    CHECK(allowances.view("hule930").admitted_per_s >= 9.0);
}

TEST_SUITE_BEGIN("long_teams");

// Guards against gateways that do not count one another's use, by real heartbeats.
TEST_CASE("gateways keep an allowance together")
{
    constexpr double per_s = 20.0;
    constexpr double burst = 20.0;
    constexpr state::milliseconds window{8000};
    // The allowance of a window and a tenth of it.
    constexpr double allowed = (per_s * 8.0 + burst) * 1.1;
    constexpr std::size_t gateways = 3;
    gateway_fixture test;
    std::vector<state::time_point> arrivals;
    test.add_backend("s1", "plain",
                     [&arrivals](const transport::http_request& request)
                     {
                         arrivals.push_back(state::now());
                         return ok(request);
                     });
    boost::json::object limited = tenant("hule930", {"asnm7"});
    limited["Unit"] = "requests";
    limited["RatePerS"] = per_s;
    limited["Burst"] = burst;
    test.tenants = {limited};
    test.put_config(1);
    test.start();
    std::vector<std::unique_ptr<app::gateway>> others;
    for (std::size_t index = 1; index < gateways; ++index)
    {
        state::gateway_settings settings = test.settings;
        settings.node_id = "gateway-" + std::to_string(index + 1);
        settings.seeds = {test.gateway->own_settings().control_listen};
        others.push_back(std::make_unique<app::gateway>(
            test.loop, settings, test.settings_path, *test.adapter, test.counters));
        others.back()->start();
    }
    const auto covers_all = [&](const app::gateway& gateway)
    {
        return gateway.is_ready() &&
               gateway.shared_state().allowances.covered_gateways() == gateways;
    };
    test.run_until(
        [&]
        {
            return covers_all(*test.gateway) &&
                   std::all_of(others.begin(), others.end(),
                               [&](const auto& item) { return covers_all(*item); });
        });
    std::size_t sent = 0;
    std::size_t served = 0;
    const auto play = [&](state::milliseconds duration, state::milliseconds interval)
    {
        const state::time_point end = state::now() + duration;
        for (state::time_point next = state::now(); next < end; next += interval)
        {
            const std::size_t index = sent++ % gateways;
            const app::gateway& target = index == 0 ? *test.gateway : *others[index - 1];
            const auto request = with_key(
                test.request("/once/x", "a" + std::to_string(sent)), "Bearer asnm7");
            const auto response = test.fetch_from(target.own_settings().listen, request);
            REQUIRE(response);
            const unsigned status = response->result_int();
            CHECK((status == 200 || status == 429));
            served += status == 200 ? 1 : 0;
            if (next + interval > state::now())
                test.run_until([&] { return state::now() >= next + interval; });
        }
    };
    // Half of the limit, until the gateways know the use in a whole window.
    play(window + state::milliseconds(1000), state::milliseconds(100));
    const std::size_t sent_before = sent;
    served = 0;
    play(state::milliseconds(3000), state::milliseconds(100));
    CHECK(served == sent - sent_before);
    served = 0;
    // Five times the limit.
    play(window + state::milliseconds(2000), state::milliseconds(10));
    CHECK(static_cast<double>(served) >= 0.8 * per_s * 10.0);
    std::size_t most = 0;
    auto first = arrivals.begin();
    for (auto last = first; last != arrivals.end(); ++last)
    {
        while (*last - *first > window)
            ++first;
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    CHECK(static_cast<double>(most) <= allowed);
    MESSAGE("served ", served, " in 10 s, most in a window ", most);
}

TEST_SUITE_END();
