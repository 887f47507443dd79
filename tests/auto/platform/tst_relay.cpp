#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using test::chunk;
using test::event;
using test::gateway_fixture;
using test::raw_backend;
using test::raw_reply;
using test::reply_end;
using test::response_text;
using test::stream_head;

std::string attempt_of(const transport::http_request& request)
{
    return std::string(request["X-Pomelorouter-Attempt-Id"]);
}

raw_reply ok(const transport::http_request& request)
{
    return {{response_text("200 OK", attempt_of(request), "done")}};
}

std::string events(int from, int to)
{
    std::string text;
    for (int id = from; id <= to; ++id)
        text += event(id);
    return text;
}

} // namespace

// Guards against a success that the caller takes for complete, from a backend server that
// stopped inside the header of its response.
TEST_CASE("a response that ends inside its header is no success")
{
    const std::string whole = response_text("200 OK", "a1", "done", "X-More: 7\r\n");
    const std::string unframed = "HTTP/1.1 200 OK\r\nX-Pomelorouter-Attempt-Id: a1\r\n"
                                 "X-Pomelorouter-Server-Seal: seal\r\n\r\n";
    std::string reply;
    reply_end end = reply_end::close;
    int streams = 0;
    gateway_fixture test;
    test.add_backend("s1", "plain",
                     [&](const transport::http_request&) {
                         return raw_reply{{reply}, end};
                     });
    test.add_backend("e1", "models",
                     [&](const transport::http_request& request)
                     {
                         if (request.target() != "/stream/x")
                             return raw_reply{
                                 {"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"}};
                         ++streams;
                         return raw_reply{{reply}, end};
                     },
                     {"m1"});
    test.put_config(1);
    test.start();
    int sent = 0;
    for (const std::string& head : {whole, unframed, stream_head("a1")})
    {
        const std::size_t head_size = head.find("\r\n\r\n") + 4;
        for (std::size_t size = 0; size < head_size; ++size)
        {
            for (const reply_end ending : {reply_end::close, reply_end::reset})
            {
                CAPTURE(size);
                CAPTURE(head);
                reply = head.substr(0, size);
                end = ending;
                const auto plain = test.fetch(test.request("/once/x", "a1"));
                REQUIRE(plain);
                CHECK(plain->result_int() >= 500);
                const auto stream = test.fetch(test.request("/stream/x", "a1", "m1"));
                REQUIRE(stream);
                CHECK(stream->result_int() >= 500);
                ++sent;
            }
        }
    }
    CHECK(streams >= sent);
}

// Guards against half of a response that is forwarded as all of it: the backend server
// answers before it has read a long body, without a length, and then resets the
// connection.
TEST_CASE("a response without length that is reset is not complete")
{
    constexpr std::size_t body_bytes = 4 * 1024 * 1024;
    gateway_fixture test;
    test.max_body_bytes = body_bytes;
    const auto half_and_reset =
        [](const std::string& attempt, const std::string& type, const std::string& half)
    {
        const std::string head =
            "HTTP/1.1 200 OK\r\nX-Pomelorouter-Attempt-Id: " + attempt +
            "\r\nX-Pomelorouter-Server-Seal: seal\r\nContent-Type: " + type +
            "\r\nConnection: close\r\n\r\n";
        // The gateway has received the first half when the reset arrives.
        return raw_reply{
            {head + half, ""}, reply_end::reset, state::milliseconds(200), true};
    };
    raw_backend& plain = test.add_backend(
        "s1", "plain",
        [&](const transport::http_request& request)
        { return half_and_reset(attempt_of(request), "text/plain", "half"); });
    raw_backend& engine = test.add_backend(
        "e1", "models",
        [&](const transport::http_request& request)
        {
            if (request.target() != "/stream/x")
                return raw_reply{{"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"}};
            return half_and_reset(attempt_of(request), "text/event-stream", events(1, 2));
        },
        {"m1"});
    plain.answers_early = true;
    engine.answers_early = true;
    test.put_config(1);
    test.start();
    auto order = test.request("/once/x", "a1");
    order.body() = std::string(body_bytes, 'x');
    order.prepare_payload();
    const auto answer = test.fetch(order);
    REQUIRE(answer);
    CHECK(answer->result_int() == 502);
    auto stream = test.request("/stream/x", "a2", "m1");
    stream.body() = std::string(body_bytes, 'x');
    stream.prepare_payload();
    // A stream that has begun can only be broken off.
    CHECK_FALSE(test.fetch(stream));
}

// Guards against a gateway that changes requests or responses while forwarding them.
TEST_CASE(
    "a request and its response are forwarded without hop-by-hop and reserved fields")
{
    gateway_fixture test;
    auto& backend = test.add_backend(
        "s1", "plain",
        [](const transport::http_request& request)
        {
            return raw_reply{{response_text("200 OK", attempt_of(request), "done",
                                            "X-More: 7\r\nKeep-Alive: timeout=9\r\n")}};
        });
    test.put_config(1);
    test.start();
    auto request = test.request("/once/order?x=%20y", "a1");
    request.set("X-Custom", "kept");
    request.set("X-Pomelorouter-Hold", "stolen");
    request.set(transport::field::connection, "X-Private");
    request.set("X-Private", "not passed on");
    const auto response = test.fetch(request);
    REQUIRE(response);
    CHECK(response->result_int() == 200);
    CHECK(response->body() == "done");
    CHECK((*response)["X-More"] == "7");
    CHECK((*response)["X-Pomelorouter-Server-Seal"] == "seal");
    CHECK(response->count("Keep-Alive") == 0);
    REQUIRE(backend.requests.size() == 1);
    const auto& received = backend.requests.front();
    CHECK(received.target() == "/once/order?x=%20y");
    CHECK(received.body() == "body of a1");
    CHECK(received["X-Custom"] == "kept");
    CHECK(received["X-Pomelorouter-Target-Instance"] == "s1");
    CHECK(received.count("X-Pomelorouter-Hold") == 0);
    CHECK(received.count("X-Private") == 0);
    const int left = std::stoi(std::string(received["X-Pomelorouter-Deadline-Ms"]));
    CHECK(left <= 4000);
    CHECK(left > 3000);
}

// Guards against a second run of a non-idempotent request, and against a missing retry of
// a repeatable one.
TEST_CASE("a failed call is retried only if the request may be repeated")
{
    struct row
    {
        const char* name;
        const char* path;
        raw_reply first;
        unsigned expected_status;
        std::size_t expected_calls;
    };
    const std::string half = response_text("200 OK", "a1", "done").substr(0, 100);
    const std::string not_run =
        "HTTP/1.1 503 No\r\nX-Pomelorouter-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    const std::vector<row> rows{
        {"closed, non-idempotent", "/once/x", {{}, reply_end::close}, 502, 1},
        {"closed, repeatable", "/again/x", {{}, reply_end::close}, 200, 2},
        {"reset, non-idempotent", "/once/x", {{}, reply_end::reset}, 502, 1},
        {"truncated, non-idempotent", "/once/x", {{half}, reply_end::close}, 502, 1},
        {"truncated, repeatable", "/again/x", {{half}, reply_end::close}, 200, 2},
        {"not HTTP, non-idempotent",
         "/once/x",
         {{"nonsense\r\n\r\n"}, reply_end::close},
         502,
         1},
        {"not HTTP, repeatable",
         "/again/x",
         {{"nonsense\r\n\r\n"}, reply_end::close},
         200,
         2},
        {"error status, non-idempotent",
         "/once/x",
         {{response_text("500 Error", "a1", "no")}},
         500,
         1},
        {"error status, repeatable",
         "/again/x",
         {{response_text("500 Error", "a1", "no")}},
         200,
         2},
        {"503 without the not-run field, non-idempotent",
         "/once/x",
         {{response_text("503 Busy", "a1", "no")}},
         502,
         1},
        {"not run, non-idempotent", "/once/x", {{not_run}}, 503, 1},
        {"not run, repeatable", "/again/x", {{not_run}}, 200, 2},
        {"no signature, non-idempotent",
         "/once/x",
         {{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}},
         502,
         1},
        {"unframed",
         "/once/x",
         {{"HTTP/1.1 200 OK\r\nX-Pomelorouter-Server-Seal: s\r\n\r\nall"},
          reply_end::close},
         200,
         1},
        {"unframed and reset",
         "/once/x",
         {{"HTTP/1.1 200 OK\r\nX-Pomelorouter-Server-Seal: s\r\n\r\nall"},
          reply_end::reset},
         502,
         1},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        gateway_fixture test;
        std::size_t calls = 0;
        const auto script = [&](const transport::http_request& request)
        { return ++calls == 1 ? item.first : ok(request); };
        test.add_backend("s1", "plain", script);
        test.add_backend("s2", "plain", script);
        test.put_config(1);
        test.start();
        const auto response = test.fetch(test.request(item.path, "a1"));
        REQUIRE(response);
        CHECK(response->result_int() == item.expected_status);
        CHECK(calls == item.expected_calls);
        if (item.expected_status == 503)
            CHECK(response->count("Retry-After") == 1);
    }
}

// Guards against a response to an earlier request that is taken for that of the current
// one.
TEST_CASE("extra responses on a reused connection are discarded")
{
    gateway_fixture test;
    int calls = 0;
    auto& backend = test.add_backend(
        "s1", "plain",
        [&](const transport::http_request& request)
        {
            ++calls;
            if (calls == 1)
            {
                const std::string whole = response_text("200 OK", "a1", "first");
                return raw_reply{{whole + whole}};
            }
            // A duplicate response to an earlier request arrives before the response to
            // this one.
            return raw_reply{{response_text("200 OK", "old", "stale") +
                              response_text("200 OK", attempt_of(request), "own")}};
        });
    test.put_config(1);
    test.start();
    const auto first = test.fetch(test.request("/once/x", "a1"));
    REQUIRE(first);
    CHECK(first->body() == "first");
    const auto second = test.fetch(test.request("/once/x", "a2"));
    REQUIRE(second);
    CHECK(second->body() == "own");
    CHECK(backend.connections == 2);
}

// Guards against a refusal of an earlier request that is taken for one of the present
// request, which the backend server runs.
TEST_CASE("a refusal that is repeated on a kept connection refuses no other request")
{
    struct row
    {
        std::string name;
        std::string refusal;
    };
    const std::string fields = "X-Pomelorouter-Not-Executed: 1\r\nContent-Length: 4\r\n";
    const std::string with_id = fields + "X-Pomelorouter-Attempt-Id: a1\r\n";
    const std::vector<row> rows{
        {"503", "HTTP/1.1 503 Busy\r\n" + fields + "\r\nbusy"},
        {"429", "HTTP/1.1 429 Slow\r\n" + fields + "\r\nbusy"},
        {"421", "HTTP/1.1 421 Misdirected\r\n" + fields + "\r\nbusy"},
        {"503 with the id of its request",
         "HTTP/1.1 503 Busy\r\n" + with_id + "\r\nbusy"},
        {"500 without an id", "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        gateway_fixture test;
        int runs = 0;
        test::raw_backend* backend = nullptr;
        backend =
            &test.add_backend("s1", "plain",
                              [&](const transport::http_request& request)
                              {
                                  if (attempt_of(request) == "a1")
                                      return raw_reply{{item.refusal}};
                                  ++runs;
                                  const std::string own =
                                      response_text("200 OK", "a2", "own");
                                  // The faulty server writes the refusal again if the
                                  // connection was kept.
                                  const bool is_kept = backend->connections == 1;
                                  return raw_reply{{is_kept ? item.refusal + own : own}};
                              });
        test.put_config(1);
        test.start();
        REQUIRE(test.fetch(test.request("/once/x", "a1")));
        const auto second = test.fetch(test.request("/once/x", "a2"));
        REQUIRE(second);
        CHECK(runs == 1);
        CHECK(second->result_int() == 200);
        CHECK(second->body() == "own");
    }
}

// Guards against a resumed stream with a missing, duplicate or truncated event.
TEST_CASE(
    "an interrupted stream is resumed at another engine after its last complete event")
{
    gateway_fixture test;
    int calls = 0;
    std::string resumed_after;
    const auto script = [&](const transport::http_request& request)
    {
        if (++calls == 1)
        {
            return raw_reply{{stream_head("a1"), chunk(events(1, 3) + "id: 4\nda")},
                             reply_end::reset};
        }
        resumed_after = std::string(request["Last-Event-Id"]);
        return raw_reply{{stream_head("a1"), chunk(events(4, 6)), "0\r\n\r\n"}};
    };
    test.add_backend("e1", "models", script, {"m1"});
    test.add_backend("e2", "models", script, {"m1"});
    test.put_config(1);
    test.start();
    const auto response = test.fetch(test.request("/stream/x", "a1", "m1"));
    REQUIRE(response);
    CHECK(response->body() == events(1, 6));
    CHECK(resumed_after == "3");
    CHECK(calls == 2);
}

// Guards against an interrupted stream that looks complete to the caller.
TEST_CASE("a stream that cannot be resumed ends without the final chunk")
{
    gateway_fixture test;
    test.add_backend(
        "e1", "models",
        [&](const transport::http_request&) {
            return raw_reply{{stream_head("a1"), chunk(events(1, 3))}, reply_end::reset};
        },
        {"m1"});
    test.put_config(1, 5000, 1);
    test.start();
    CHECK_FALSE(test.fetch(test.request("/stream/x", "a1", "m1")));
}

// Guards against the text of an error, or the response of a resumed call, in the middle
// of a caller's stream, and against such a stream that looks complete.
TEST_CASE("a stream that has begun is not continued with anything but its events")
{
    struct row
    {
        std::string name;
        std::string second;
    };
    const std::string json_head = "HTTP/1.1 200 OK\r\nX-Pomelorouter-Attempt-Id: a1\r\n"
                                  "X-Pomelorouter-Server-Seal: seal\r\n"
                                  "Content-Type: application/json\r\n";
    const std::vector<row> rows{
        {"not found", response_text("404 Not Found", "a1", "no such thing")},
        {"bad request", response_text("400 Bad Request", "a1", "bad\n\n")},
        {"redirection", response_text("302 Found", "a1", "elsewhere\n\n")},
        {"server error", response_text("500 Error", "a1", "broken\n\n")},
        {"unavailable", response_text("503 Busy", "a1", "busy\n\n")},
        {"too many requests", response_text("429 Slow", "a1", "slow\n\n")},
        {"refusal", response_text("503 Busy", "a1", "busy\n\n",
                                  "X-Pomelorouter-Not-Executed: 1\r\n")},
        {"no content", "HTTP/1.1 204 No Content\r\nX-Pomelorouter-Attempt-Id: a1\r\n"
                       "X-Pomelorouter-Server-Seal: seal\r\n\r\n"},
        {"success without a signature",
         "HTTP/1.1 200 OK\r\nX-Pomelorouter-Attempt-Id: a1\r\n"
         "Content-Length: 8\r\n\r\nid: 4\n\n\n"},
        {"success of another type", json_head + "Content-Length: 5\r\n\r\n{}\n\n\n"},
        {"no HTTP", "id: 4\ndata: x\n\n"},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        gateway_fixture test;
        int calls = 0;
        const auto script = [&](const transport::http_request& request)
        {
            if (request.target() != "/stream/x")
                return raw_reply{{"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"}};
            if (++calls == 1)
            {
                return raw_reply{{stream_head("a1"), chunk(events(1, 3))},
                                 reply_end::reset};
            }
            return raw_reply{{item.second}, reply_end::close};
        };
        test.add_backend("e1", "models", script, {"m1"});
        test.add_backend("e2", "models", script, {"m1"});
        test.put_config(1);
        test.start();
        const std::string received =
            test.exchange("POST /stream/x HTTP/1.1\r\nHost: shop.example\r\n"
                          "X-Pomelorouter-Attempt-Id: a1\r\nX-Pomelorouter-Model: m1\r\n"
                          "Content-Length: 0\r\n\r\n",
                          state::milliseconds(1000));
        CHECK(calls == 2);
        const std::size_t body = received.find("\r\n\r\n");
        REQUIRE(body != std::string::npos);
        CHECK(received.substr(body + 4) == chunk(events(1, 3)));
    }
}

// Guards against a stream without a length that breaks off inside an event and is taken
// for complete.
TEST_CASE("a stream that ends inside an event has been broken off")
{
    const std::string unframed_head =
        "HTTP/1.1 200 OK\r\nX-Pomelorouter-Attempt-Id: a1\r\n"
        "X-Pomelorouter-Server-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n";
    struct row
    {
        std::string name;
        std::string first;
        int attempts;
        bool is_served;
    };
    const std::vector<row> rows{
        {"unframed, resumed", unframed_head + events(1, 3) + "id: 4\nda", 2, true},
        {"unframed, after an event's last line", unframed_head + events(1, 3) + "id: 4\n",
         2, true},
        {"unframed, before the first event", unframed_head + "id: 1\nda", 2, true},
        {"unframed, not resumed", unframed_head + events(1, 3) + "id: 4\nda", 1, false},
        {"chunked, resumed",
         stream_head("a1") + chunk(events(1, 3) + "id: 4\nda") + "0\r\n\r\n", 2, true},
        {"chunked, not resumed",
         stream_head("a1") + chunk(events(1, 3) + "id: 4\nda") + "0\r\n\r\n", 1, false},
        {"unframed and complete", unframed_head + events(1, 6), 1, true},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        gateway_fixture test;
        int calls = 0;
        const auto script = [&](const transport::http_request& request)
        {
            if (request.target() != "/stream/x")
                return raw_reply{{"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"}};
            if (++calls == 1)
                return raw_reply{{item.first}, reply_end::close};
            const std::string resumed_after(request["Last-Event-Id"]);
            const int first = resumed_after.empty() ? 1 : std::stoi(resumed_after) + 1;
            return raw_reply{{stream_head("a1"), chunk(events(first, 6)), "0\r\n\r\n"}};
        };
        test.add_backend("e1", "models", script, {"m1"});
        test.add_backend("e2", "models", script, {"m1"});
        test.put_config(1, 5000, item.attempts);
        test.start();
        const auto response = test.fetch(test.request("/stream/x", "a1", "m1"));
        REQUIRE(response.has_value() == item.is_served);
        if (item.is_served)
            CHECK(response->body() == events(1, 6));
    }
}

// Guards against a caller that waits longer than the timeout of its route, and against a
// response that wrongly claims the request was not run.
TEST_CASE("a call without a response ends with 504 at the timeout of the route")
{
    gateway_fixture test;
    test.add_backend("s1", "plain",
                     [](const transport::http_request&) {
                         return raw_reply{{}, reply_end::silent};
                     });
    test.put_config(1, 400);
    test.start();
    const auto begun = std::chrono::steady_clock::now();
    const auto response = test.fetch(test.request("/once/x", "a1"));
    REQUIRE(response);
    CHECK(response->result_int() == 504);
    CHECK(std::chrono::steady_clock::now() - begun >= state::milliseconds(390));
    test.run_until([&] { return test.backends.front()->closed == 1; });
}

// Guards against calls that continue after their caller has disconnected.
TEST_CASE("a call is aborted when its caller closes the connection")
{
    gateway_fixture test;
    auto& backend = test.add_backend("s1", "plain",
                                     [](const transport::http_request&) {
                                         return raw_reply{{}, reply_end::silent};
                                     });
    test.put_config(1);
    test.start();
    const std::string request =
        "POST /once/x HTTP/1.1\r\nHost: shop.example\r\nX-Pomelorouter-Attempt-Id: "
        "a1\r\nContent-Length: 0\r\n\r\n";
    test.exchange(request, state::milliseconds(100));
    test.run_until([&] { return backend.closed == 1; });
}

// Guards against request smuggling (malformed requests that two parsers read
// differently), and against clients that exceed the configured limits.
TEST_CASE("malformed requests get an error status and reach no backend server")
{
    struct row
    {
        const char* name;
        std::string bytes;
        const char* expected;
    };
    const std::string start = "POST /once/x HTTP/1.1\r\nHost: shop.example\r\n";
    const std::vector<row> rows{
        {"length and chunked",
         start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "HTTP/1.1 400"},
        {"chunked and length",
         start + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
         "HTTP/1.1 400"},
        {"two lengths", start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
         "HTTP/1.1 400"},
        {"encoding not chunked", start + "Transfer-Encoding: identity\r\n\r\n",
         "HTTP/1.1 400"},
        {"chunked twice", start + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
         "HTTP/1.1 400"},
        {"two hosts", start + "Host: other.example\r\nContent-Length: 0\r\n\r\n",
         "HTTP/1.1 400"},
        {"bad number",
         start + "X-Pomelorouter-Deadline-Ms: soon\r\nContent-Length: 0\r\n\r\n",
         "HTTP/1.1 400"},
        {"long header", start + "X-Long: " + std::string(8000, 'x') + "\r\n\r\n",
         "HTTP/1.1 431"},
        {"long body", start + "Content-Length: 100000\r\n\r\n", "HTTP/1.1 413"},
        {"slow header", start, "HTTP/1.1 408"},
        {"no route", "GET /none HTTP/1.1\r\nHost: shop.example\r\n\r\n", "HTTP/1.1 404"},
        {"other host", "GET /once/x HTTP/1.1\r\nHost: elsewhere\r\n\r\n", "HTTP/1.1 404"},
    };
    gateway_fixture test;
    auto& backend = test.add_backend("s1", "plain", ok);
    test.put_config(1);
    test.start();
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        const std::string response = test.exchange(item.bytes, state::milliseconds(600));
        CHECK(response.substr(0, 12) == item.expected);
    }
    CHECK(backend.requests.empty());
}

// Guards against pipelined requests that are lost or answered out of order.
TEST_CASE("pipelined requests are answered in order")
{
    gateway_fixture test;
    test.add_backend("s1", "plain",
                     [](const transport::http_request& request)
                     {
                         const std::string attempt = attempt_of(request);
                         return raw_reply{{response_text("200 OK", attempt, attempt)}};
                     });
    test.put_config(1);
    test.start();
    std::string bytes;
    for (const char* attempt : {"a1", "a2", "a3"})
    {
        bytes += std::string("POST /once/x HTTP/1.1\r\nHost: shop.example\r\n"
                             "X-Pomelorouter-Attempt-Id: ") +
                 attempt + "\r\nContent-Length: 0\r\n\r\n";
    }
    const std::string responses = test.exchange(bytes, state::milliseconds(300));
    const std::size_t first = responses.find("\r\n\r\na1");
    const std::size_t second = responses.find("\r\n\r\na2");
    const std::size_t third = responses.find("\r\n\r\na3");
    CHECK(first != std::string::npos);
    CHECK(second != std::string::npos);
    CHECK(third != std::string::npos);
    CHECK(first < second);
    CHECK(second < third);
}

// Guards against requests that no engine can run, which each engine rejects in turn.
TEST_CASE("a request that exceeds the memory of each engine is refused at once")
{
    gateway_fixture test;
    int calls = 0;
    test.add_backend("e1", "models",
                     [&](const transport::http_request& request)
                     {
                         ++calls;
                         return raw_reply{{stream_head(attempt_of(request)),
                                           chunk(events(1, 1)), "0\r\n\r\n"}};
                     },
                     {"m1"});
    test.put_config(1);
    test.start();
    // The configuration gives engines memory for 100,000 tokens.
    transport::http_request large = test.request("/stream/x", "a1", "m1");
    large.set("X-Pomelorouter-Token-Count", "99990,20");
    const auto refusal = test.fetch(large);
    REQUIRE(refusal);
    CHECK(refusal->result_int() == 429);
    CHECK(calls == 0);
    const auto response = test.fetch(test.request("/stream/x", "a2", "m1"));
    REQUIRE(response);
    CHECK(response->result_int() == 200);
    CHECK(calls == 1);
}
