#include "app/commands/explain_command.hpp"
#include "gateway_fixture.hpp"
#include "state/error.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <future>
#include <optional>
#include <string>
#include <vector>

// Explanations of where a request would go.

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using test::gateway_fixture;
using test::raw_reply;
using test::response_text;

/// Answers relayed requests, and no control calls.
raw_reply ok(const transport::http_request& request)
{
    const std::string attempt(request["X-Pomelorouter-Attempt-Id"]);
    if (attempt.empty())
        return {{response_text("404 Not Found", "", "")}};
    const bool is_stream = request.target().starts_with("/stream/");
    return {{response_text("200 OK", attempt, is_stream ? test::event(1) : "done")}};
}

boost::json::object tenant(const std::string& name, const std::string& key)
{
    return {{"Name", name}, {"ApiKeys", boost::json::array{key}}};
}

boost::json::object query(const std::string& path)
{
    return {{"host", "shop.example"}, {"path", path}, {"deadline_ms", 4000}};
}

boost::json::object query(const std::string& path, const std::string& key)
{
    boost::json::object result = query(path);
    result["key"] = key;
    return result;
}

boost::json::object model_query(const std::string& path, const std::string& model)
{
    boost::json::object result = query(path);
    result["model"] = model;
    result["prompt_tokens"] = 100;
    result["output_tokens"] = 20;
    return result;
}

std::optional<transport::http_response> post(gateway_fixture& test,
                                             const std::string& body)
{
    return test.fetch_from(
        test.gateway->own_settings().control_listen,
        transport::make_request(transport::verb::post, "/gateway/explain", body));
}

boost::json::object explain(gateway_fixture& test, const boost::json::object& body)
{
    const auto response = post(test, boost::json::serialize(body));
    REQUIRE(response);
    CAPTURE(response->body());
    REQUIRE(response->result_int() == 200);
    return boost::json::parse(response->body()).as_object();
}

std::string text(const boost::json::object& object, const char* key)
{
    const boost::json::value* const value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::int64_t number(const boost::json::object& object, const char* key)
{
    return object.at(key).to_number<std::int64_t>();
}

/// State of a gateway that requests change.
struct request_state
{
    explicit request_state(gateway_fixture& test)
    {
        const app::gateway_state& shared = test.gateway->shared_state();
        coordination::random_source random = shared.random;
        this->next_draw = random();
        this->sizes = {shared.queue.size(), shared.requests.size(),
                       shared.loads.active_calls(),
                       shared.demand.own_rates(state::now()).size(),
                       shared.allowances.own_usage().teams.size()};
        for (const auto& backend : test.backends)
        {
            const auto& received = backend->requests;
            this->sizes.push_back(static_cast<std::size_t>(std::count_if(
                received.begin(), received.end(),
                [](const transport::http_request& request)
                { return request.count("X-Pomelorouter-Attempt-Id") > 0; })));
        }
        for (const char* const name :
             {"requests_held_total", "requests_released_total",
              "requests_refused_deadline_total", "requests_refused_target_total",
              "team_requests_refused_total", "team_requests_unauthorized_total"})
            this->counters.push_back(test.counters.value(name));
    }
    bool operator==(const request_state&) const = default;

    std::uint64_t next_draw = 0;
    std::vector<std::size_t> sizes;
    std::vector<std::int64_t> counters;
};

/// Sends a request whose response does not matter, and counts its end.
boost::asio::awaitable<void> send_request(gateway_fixture& test,
                                          transport::http_request request, int& ended)
{
    const transport::http_call_options options;
    co_await test.client.fetch(test.gateway->own_settings().listen, request, options);
    ++ended;
}

} // namespace

// Guards against an explanation that names another backend server than the one to which
// the request then goes.
TEST_CASE("an explanation names the backend server to which the request is sent")
{
    gateway_fixture test;
    for (const char* const id : {"s1", "s2", "s3"})
        test.add_backend(id, "plain", ok);
    for (const char* const id : {"e1", "e2"})
        test.add_backend(id, "models", ok, {"m1"});
    test.put_config(1);
    test.start();
    std::size_t sent = 0;
    for (const std::string path : {"/once/x", "/stream/x"})
    {
        const bool is_stream = path == "/stream/x";
        for (int i = 0; i < 15; ++i)
        {
            CAPTURE(path);
            const auto answer =
                explain(test, is_stream ? model_query(path, "m1") : query(path));
            CAPTURE(boost::json::serialize(answer));
            CHECK(text(answer, "decision") == "send");
            const std::string backend = text(answer, "backend");
            const std::string printed = app::format_explanation(answer);
            CAPTURE(printed);
            CHECK(printed.find("send to " + backend) != std::string::npos);
            const auto& candidates = answer.at("candidates").as_array();
            CHECK(candidates.size() == (is_stream ? 2 : 3));
            for (const auto& item : candidates)
                CHECK(text(item.as_object(), "state") == "usable");
            auto request =
                test.request(path, "a" + std::to_string(++sent), is_stream ? "m1" : "");
            // The explained request names no parts of its prompt.
            request.erase("X-Pomelorouter-Prompt-Prefix");
            const auto response = test.fetch(request);
            REQUIRE(response);
            CHECK(response->result_int() == 200);
            std::string receiver;
            for (const auto& item : test.backends)
                for (const auto& received : item->requests)
                    if (received["X-Pomelorouter-Attempt-Id"] ==
                        "a" + std::to_string(sent))
                        receiver = received["X-Pomelorouter-Target-Instance"];
            CHECK(receiver == backend);
        }
    }
}

// Guards against an explanation that accepts a request which the gateway refuses, or the
// reverse, and against a key in the answer.
TEST_CASE("an explanation refuses what the gateway refuses")
{
    gateway_fixture test;
    test.add_backend("s1", "plain", ok);
    boost::json::object small = tenant("hule930", "asnm7");
    small["Unit"] = "requests";
    small["RatePerS"] = 4;
    small["Burst"] = 4;
    test.tenants = {small, tenant("tagi2", "old")};
    test.put_config(1);
    test.start();
    const auto granted = explain(test, query("/once/x", "old"));
    CHECK(text(granted, "decision") == "send");
    CHECK(text(granted.at("team").as_object(), "name") == "tagi2");
    test.tenants = {small, tenant("tagi2", "new")};
    test.put_config(2);
    test.run_until(
        [&] { return test.gateway->shared_state().routes->config().version == 2; });
    const auto withdrawn = explain(test, query("/once/x", "old"));
    CHECK(text(withdrawn, "decision") == "refuse");
    CHECK(text(withdrawn, "error") == "unauthorized");
    CHECK(number(withdrawn, "status") == 401);
    CHECK(withdrawn.at("team").is_null());
    CHECK(boost::json::serialize(withdrawn).find("old") == std::string::npos);

    const auto no_route = explain(test, query("/none/x", "new"));
    CHECK(text(no_route, "decision") == "refuse");
    CHECK(number(no_route, "status") == 404);
    CHECK(no_route.at("route").is_null());
    CHECK(no_route.at("rank").is_null());

    auto order = test.request("/once/x", "a1");
    order.set("Authorization", "Bearer asnm7");
    unsigned status = 200;
    while (status == 200)
    {
        const auto response = test.fetch(order);
        REQUIRE(response);
        status = response->result_int();
    }
    CHECK(status == 429);
    const auto beyond = explain(test, query("/once/x", "asnm7"));
    CAPTURE(boost::json::serialize(beyond));
    CHECK(text(beyond, "decision") == "refuse");
    CHECK(text(beyond, "error") == "rate_limited");
    CHECK(number(beyond, "status") == 429);
    CHECK(number(beyond, "retry_after_ms") >= 50);
    const auto& allowance = beyond.at("team").at("allowance").as_object();
    CHECK(text(allowance, "unit") == "requests");
    CHECK(number(allowance, "limit_per_s") == 4);
    CHECK(boost::json::serialize(beyond).find("asnm7") == std::string::npos);
}

// Guards against an explanation without the reasons for which backend servers are left
// out.
TEST_CASE("an explanation says that a request waits for a model, and why")
{
    gateway_fixture test;
    test.add_backend("e1", "models", ok);
    test.put_config(1);
    test.start();
    const auto answer = explain(test, model_query("/stream/x", "m1"));
    CAPTURE(boost::json::serialize(answer));
    CHECK(text(answer, "decision") == "hold");
    CHECK(text(answer, "reason") == "model_missing");
    CHECK(number(answer, "rank") == 1);
    CHECK(number(answer, "time_limit_ms") == 4000);
    REQUIRE(answer.at("candidates").as_array().size() == 1);
    const auto& candidate = answer.at("candidates").as_array().front().as_object();
    CHECK(text(candidate, "backend") == "e1");
    CHECK(text(candidate, "state") == "model_missing");
    // The route has no service with an engine, so the model does not matter.
    CHECK(text(explain(test, query("/once/x")), "error") == "no_backend_server");
}

// Guards against questions of operators that take the place of requests or count as
// demand.
TEST_CASE("an explanation changes nothing")
{
    gateway_fixture test;
    test.add_backend("s1", "plain", ok);
    test.add_backend("e1", "models", ok, {"m1"});
    boost::json::object small = tenant("hule930", "asnm7");
    small["Unit"] = "requests";
    small["RatePerS"] = 1;
    test.tenants = {small, tenant("tagi2", "p0")};
    test.put_config(1);
    test.start();
    std::vector<boost::json::object> queries{
        query("/once/x"), query("/once/x", "none"), query("/once/x", "asnm7"),
        query("/none/x", "asnm7"), model_query("/stream/x", "m1"),
        // No engine has room for this model, so it is not loaded meanwhile.
        model_query("/stream/x", "large")};
    for (boost::json::object& item : queries)
        if (!item.contains("key") && item.contains("model"))
            item["key"] = "p0";
    const request_state before(test);
    // More often than the allowance of the team permits requests.
    for (int i = 0; i < 20; ++i)
    {
        for (const boost::json::object& item : queries)
        {
            CAPTURE(boost::json::serialize(item));
            const std::string decision = text(explain(test, item), "decision");
            CHECK(decision != "");
            if (item.contains("model"))
                CHECK(decision == (text(item, "model") == "m1" ? "send" : "hold"));
        }
    }
    CHECK(request_state(test) == before);
}

// Guards against a question that is answered as if it were another one.
TEST_CASE("a malformed question is refused with the name of the member")
{
    gateway_fixture test;
    test.add_backend("s1", "plain", ok);
    test.put_config(1);
    test.start();
    struct row
    {
        const char* body;
        const char* place;
    };
    const std::vector<row> rows{
        {"", "explain"},
        {"[]", "explain#"},
        {R"({"path":"/once/x"})", "explain#/host"},
        {R"({"host":"shop.example"})", "explain#/path"},
        {R"({"host":"","path":"/once/x"})", "explain#/host"},
        {R"({"host":"shop.example","path":"once"})", "explain#/path"},
        {R"({"host":"shop.example","path":"/x","method":"A B"})", "explain#/method"},
        {R"({"host":"shop.example","path":"/x","key":7})", "explain#/key"},
        {R"({"host":"shop.example","path":"/x","adapter":"a1"})", "explain#/model"},
        {R"({"host":"shop.example","path":"/x","prompt_tokens":-1})",
         "explain#/prompt_tokens"},
        {R"({"host":"shop.example","path":"/x","output_tokens":4294967296})",
         "explain#/output_tokens"},
        {R"({"host":"shop.example","path":"/x","deadline_ms":0})",
         "explain#/deadline_ms"},
        {R"({"host":"shop.example","path":"/x","tokens":"1,2"})", "explain#/tokens"}};
    for (const row& item : rows)
    {
        CAPTURE(item.body);
        const auto response = post(test, item.body);
        REQUIRE(response);
        CHECK(response->result_int() == 400);
        const auto refusal = boost::json::parse(response->body());
        CHECK(text(refusal.at("error").as_object(), "place").starts_with(item.place));
    }
    const auto response = test.fetch_from(
        test.gateway->own_settings().control_listen,
        transport::make_request(transport::verb::get, "/gateway/explain"));
    REQUIRE(response);
    CHECK(response->result_int() == 405);
}

// Guards against an explanation that sends a request which the gateway holds back.
TEST_CASE("an explanation says that the queue of the engine is too long")
{
    gateway_fixture test;
    test.add_backend("e1", "models",
                     [](const transport::http_request& request) -> raw_reply
                     {
                         if (request.count("X-Pomelorouter-Attempt-Id") > 0)
                             return {{}, test::reply_end::silent};
                         return {{response_text("404 Not Found", "", "")}};
                     },
                     {"m1"});
    test.put_config(1);
    test.start();
    const app::gateway_state& shared = test.gateway->shared_state();
    int ended = 0;
    const auto send = [&](const std::string& attempt, const std::string& tokens)
    {
        auto request = test.request("/stream/x", attempt, "m1");
        request.set("X-Pomelorouter-Token-Count", tokens);
        request.erase("X-Pomelorouter-Prompt-Prefix");
        request.set("X-Pomelorouter-Deadline-Ms", "1500");
        boost::asio::co_spawn(test.loop, send_request(test, request, ended),
                              boost::asio::detached);
    };
    CHECK(text(explain(test, model_query("/stream/x", "m1")), "decision") == "send");
    // 0.5 s at the speed that is assumed before the first answer.
    send("a1", "10000,20");
    test.run_until([&] { return shared.loads.active_calls() == 1; });
    const auto answer = explain(test, model_query("/stream/x", "m1"));
    CAPTURE(boost::json::serialize(answer));
    CHECK(text(answer, "decision") == "hold");
    CHECK(text(answer, "reason") == "queue_too_long");
    CHECK(answer.at("queue_ms").to_number<double>() >
          answer.at("queue_limit_ms").to_number<double>());
    CHECK(shared.queue.size() == 0);
    send("a2", "100,20");
    test.run_until([&] { return shared.requests.size() == 2; });
    CHECK(shared.queue.size() == 1);
    CHECK(number(explain(test, model_query("/stream/x", "m1")), "waiting_here") == 1);
    test.run_until([&] { return ended == 2; });
}

// Guards against a command and a gateway that do not understand each other.
TEST_CASE("the command explain asks a running gateway")
{
    gateway_fixture test;
    test.add_backend("e1", "models", ok, {"m1"});
    test.put_config(1);
    test.start();
    const auto run = [&test](const std::vector<std::string>& more)
    {
        std::vector<std::string> arguments{"--gateway",
                                           test.gateway->own_settings().control_listen,
                                           "--host", "shop.example"};
        arguments.insert(arguments.end(), more.begin(), more.end());
        // The command blocks its thread until the gateway on the loop has answered.
        auto result = std::async(std::launch::async, app::explain_command, arguments);
        test.run_until(
            [&] {
                return result.wait_for(state::milliseconds(0)) ==
                       std::future_status::ready;
            });
        return result.get();
    };
    CHECK(run({"--path", "/stream/x", "--model", "m1", "--adapter", "a1", "--tokens",
               "100,20", "--deadline-ms", "4000", "--key", "k"}) ==
          app::exit_code::success);
    CHECK(run({"--path", "/none", "--json"}) == app::exit_code::success);
    CHECK_THROWS_AS(run({"--path", "/once/x", "--method", "NONE"}), state::error);
}
