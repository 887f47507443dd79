#include "stand_in_fixture.hpp"

#include "protocol/sse_parser.hpp"
#include "state/error.hpp"
#include "tools/engine_stand_in/engine_handler.hpp"
#include "tools/engine_stand_in/token_text.hpp"
#include "transport/http_error.hpp"

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>

using namespace contracts; // NOLINT(google-build-using-namespace): test file

namespace
{

constexpr std::int64_t gib = 1LL << 30;

tools::engine_options small_engine()
{
    tools::engine_options options;
    options.id = "e";
    options.token_time = state::microseconds(100);
    options.slots = 1;
    options.max_queue = 1;
    options.capacity_bytes = 4 * gib;
    options.load_time = state::milliseconds(5);
    options.unload_time = state::milliseconds(5);
    options.resident = {"m", "m:a@1000"};
    return options;
}

struct engine_test
{
    explicit engine_test(const tools::engine_options& options = small_engine())
        : engine(test, {}, options)
    {
    }

    transport::http_request completion(const std::string& id, std::int64_t tokens,
                                       const std::string& more = "")
    {
        auto request =
            transport::make_request(transport::verb::post, "/v1/completions",
                                    R"({"model":"m","prompt":"p","max_tokens":)" +
                                        std::to_string(tokens) + more + "}");
        request.set("X-Request-Id", id);
        return request;
    }

    boost::json::value stats()
    {
        return boost::json::parse(this->engine.get("/control/stats").body());
    }

    std::int64_t stat(const char* name)
    {
        return this->stats().at(name).to_number<std::int64_t>();
    }

    transport::status order(const std::string& id, int fence, const std::string& step,
                            const std::string& model, std::int64_t bytes)
    {
        return this->engine
            .post("/orders",
                  R"({"order_id":")" + id + R"(","fence":)" + std::to_string(fence) +
                      R"(,"step":")" + step + R"(","model":")" + model +
                      R"(","version":"1","bytes":)" + std::to_string(bytes) + "}")
            .result();
    }

    state::engine_inventory inventory()
    {
        return protocol::parse_inventory(this->engine.get("/inventory").body());
    }

    void wait_for_orders()
    {
        this->test.run_until(
            [&]
            {
                for (const auto& item : this->engine.handler.orders())
                {
                    if (item.status == "running")
                        return false;
                }
                return true;
            });
    }

    test_loop test;
    stand_in_server<tools::engine_handler> engine;
};

std::vector<protocol::engine_chunk> chunks_of(const transport::http_response& response)
{
    std::vector<protocol::engine_chunk> result;
    protocol::sse_parser parser;
    parser.feed(response.body());
    while (const auto data = parser.next())
    {
        if (*data != "[DONE]")
            result.push_back(protocol::parse_engine_chunk(*data));
    }
    return result;
}

} // namespace

// Guards against a resumed stream that repeats or skips tokens.
TEST_CASE("a resumed stream begins at the requested token and ends with a finish reason")
{
    engine_test t;
    const auto chunks =
        chunks_of(t.engine.fetch(t.completion("r", 6, R"(,"resume_from":4)")));
    REQUIRE(chunks.size() == 3);
    for (std::int64_t n = 0; n < 2; ++n)
    {
        CHECK(chunks[n].id == "r");
        CHECK(chunks[n].index == 4 + n);
        CHECK(chunks[n].text == tools::token_text("p", 4 + n));
    }
    CHECK(chunks[2].finish_reason == "length");
}

// Guards against refusals that a node cannot distinguish from failures.
TEST_CASE("an engine that refuses a completion answers with the error type of the reason")
{
    struct row
    {
        const char* faults;
        const char* more;
        const char* type;
    };
    const row rows[] = {
        {"{}", "", ""},
        {"{}", R"(,"adapter":"a")", ""},
        {"{}", R"(,"adapter":"b")", "model_not_resident"},
        {"{}", R"(,"version":"2")", "model_not_resident"},
        {R"({"leaving":"refuse"})", "", "leaving"},
        {R"({"leaving":"noted"})", "", ""},
        {R"({"refuse":true})", "", "queue_full"},
        {R"({"down":"unavailable"})", "", "unavailable"},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.faults);
        CAPTURE(item.more);
        engine_test t;
        t.engine.set_faults(item.faults);
        const auto response = t.engine.fetch(t.completion("r", 2, item.more));
        CHECK(protocol::parse_backend_error(response.body()) == item.type);
        CHECK((response.result() == transport::status::ok) ==
              std::string_view(item.type).empty());
    }
}

// Guards against unbounded queues and against priorities that have no effect.
TEST_CASE(
    "with all slots taken, requests queue by priority and a full queue refuses them")
{
    tools::engine_options options = small_engine();
    options.token_time = state::microseconds(2000);
    options.max_queue = 2;
    engine_test t(options);
    std::vector<std::string> finished;
    auto running = t.engine.start(t.completion("running", 50));
    t.test.run_until([&] { return t.engine.handler.load().running() == 1; });
    auto low = t.engine.start(t.completion("low", 20, R"(,"priority":1)"));
    t.test.run_until([&] { return t.engine.handler.load().queued() == 1; });
    auto high = t.engine.start(t.completion("high", 20, R"(,"priority":9)"));
    t.test.run_until([&] { return t.engine.handler.load().queued() == 2; });
    const auto over = t.engine.fetch(t.completion("over", 1));
    CHECK(protocol::parse_backend_error(over.body()) == "queue_full");
    CHECK(t.test.wait(std::move(high)).result() == transport::status::ok);
    CHECK(low.wait_for(std::chrono::seconds(0)) == std::future_status::timeout);
    CHECK(t.test.wait(std::move(low)).result() == transport::status::ok);
    CHECK(t.test.wait(std::move(running)).result() == transport::status::ok);
}

// Guards against an engine that keeps generating for a caller that has disconnected.
TEST_CASE("a running request stops when it is cancelled or its connection closes")
{
    for (const bool by_order : {true, false})
    {
        CAPTURE(by_order);
        engine_test t;
        transport::http_call_options options;
        options.max_body_bytes = 64 * 1024 * 1024;
        auto call = t.test.wait(
            t.test.client.open(t.engine.address, t.completion("r", 1000000), options));
        if (by_order)
        {
            const auto answer = t.engine.fetch(
                transport::make_request(transport::verb::delete_, "/v1/requests/r"));
            CHECK(answer.result() == transport::status::ok);
        }
        else
        {
            call.reset();
        }
        t.test.run_until([&] { return t.engine.handler.load().running() == 0; });
        CHECK(t.stat("cancelled") == 1);
    }
}

// Guards against executing an order twice, and against executing an order of a lease
// holder that has been replaced.
TEST_CASE(
    "an engine executes an order once and refuses an old fencing token if it checks them")
{
    for (const bool checks : {true, false})
    {
        CAPTURE(checks);
        tools::engine_options options = small_engine();
        options.checks_fence = checks;
        engine_test t(options);
        CHECK(t.order("o1", 5, "load", "n", gib) == transport::status::accepted);
        CHECK(t.order("o1", 5, "load", "n", gib) == transport::status::accepted);
        CHECK(t.inventory().used_bytes == 2 * gib + 1000);
        t.wait_for_orders();
        const auto late = t.order("o2", 4, "unload", "n", 0);
        CHECK(late ==
              (checks ? transport::status::conflict : transport::status::accepted));
        t.wait_for_orders();
        CHECK(t.inventory().resident.size() == (checks ? 3 : 2));
        CHECK(t.stat("repeated_orders") == 1);
        CHECK(t.stat("memory_violations") == 0);
    }
}

// Guards against a stand-in that rejects or ignores an overcommit, which would hide it.
TEST_CASE("a load beyond the capacity is accepted and counted as a violation")
{
    engine_test t;
    CHECK(t.order("o1", 1, "load", "n", 3 * gib) == transport::status::accepted);
    CHECK(t.stat("memory_violations") == 1);
    CHECK(t.stat("high_water_bytes") == 4 * gib + 1000);
    t.wait_for_orders();
    CHECK(t.order("o2", 1, "unload", "n", 0) == transport::status::accepted);
    t.wait_for_orders();
    CHECK(t.inventory().used_bytes == gib + 1000);
    CHECK(t.stat("memory_violations") == 1);
}

// Guards against stream faults that have no effect.
TEST_CASE("streams have wrong ids or indexes or break off as the faults specify")
{
    engine_test t;
    t.engine.set_faults(R"({"crossed":{"kind":"id","count":1}})");
    CHECK(chunks_of(t.engine.fetch(t.completion("r", 2)))[0].id != "r");
    t.engine.set_faults(R"({"crossed":{"kind":"index","count":1}})");
    CHECK(chunks_of(t.engine.fetch(t.completion("r", 2)))[0].index == 1);
    t.engine.set_faults(R"({"break_stream":{"after":1,"count":1}})");
    CHECK_THROWS_AS(t.engine.fetch(t.completion("r", 2)), transport::http_error);
    CHECK(chunks_of(t.engine.fetch(t.completion("r", 2))).size() == 3);
}

// Guards against a silenced connection that recovers, and against silence on new
// connections.
TEST_CASE("after silence is set, existing connections stay silent and new ones work")
{
    engine_test t;
    t.engine.options.progress_timeout = state::milliseconds(100);
    t.engine.get("/load");
    t.engine.set_faults(R"({"silence":true})");
    CHECK_THROWS_AS(t.engine.get("/load"), transport::http_error);
    CHECK(t.engine.get("/load").result() == transport::status::ok);
}

// Guards against an unbounded prefix cache and against cache events that are never lost.
TEST_CASE("the prefix cache evicts beyond its capacity and every n-th event is lost")
{
    tools::prefix_cache cache(2, 3, state::milliseconds(10));
    const state::time_point now = state::time_point{} + state::seconds(100);
    const std::string prompt(64 * 3, 'p');
    cache.store("m", prompt.substr(0, 128), now);
    CHECK(cache.find("m", prompt).cached == 2);
    CHECK(cache.find("other", prompt).cached == 0);
    cache.store("m", std::string(64, 'q'), now);
    CHECK(cache.find("m", prompt).cached < 2);
    const auto early = boost::json::parse(cache.events_from(0, now));
    CHECK(early.at("events").as_array().empty());
    const auto events =
        boost::json::parse(cache.events_from(0, now + state::milliseconds(10)));
    CHECK(events.at("events").as_array().size() == 3);
    CHECK(events.at("next").to_number<int>() == 4);
}
