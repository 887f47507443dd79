#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

// Events of a stream that are held until they are complete, without memory for them.

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using test::chunk;
using test::gateway_fixture;
using test::raw_reply;
using test::reply_end;
using test::stream_head;

constexpr std::size_t part_bytes = 50 * 1024;

/// Event in three parts of which each begins within a line.
std::vector<std::string> parts_of_event(int id)
{
    return {"data: " + std::string(part_bytes, 'a'),
            std::string(part_bytes, 'b') + "\nid: " + std::to_string(id) + "\nda",
            "ta: " + std::string(part_bytes, 'c') + "\n\n"};
}

std::string joined(const std::vector<std::string>& parts)
{
    std::string result;
    for (const std::string& part : parts)
        result += part;
    return result;
}

/// Takes all memory for responses.
void take_memory(const gateway_fixture& test)
{
    transport::memory_budget& memory = *test.gateway->shared_state().memory;
    REQUIRE(memory.try_take(transport::memory_use::responses,
                            memory.limit(transport::memory_use::responses)));
}

bool is_stream(const transport::http_request& request)
{
    return request.target() == "/stream/x";
}

raw_reply not_found()
{
    return {{"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"}};
}

} // namespace

// Guards against a running stream that is broken off, and its engine that counts as
// failing, since the gateway has no memory for an event.
TEST_CASE("a large event is passed on in pieces if there is no memory to hold it")
{
    for (const int attempts : {1, 2})
    {
        CAPTURE(attempts);
        gateway_fixture test;
        int calls = 0;
        const auto script = [&calls](const transport::http_request& request) -> raw_reply
        {
            if (!is_stream(request))
                return not_found();
            ++calls;
            raw_reply reply{{stream_head("a1"), chunk(test::event(1))}};
            for (const std::string& part : parts_of_event(2))
                reply.pieces.push_back(chunk(part));
            reply.pieces.push_back(chunk(test::event(3)));
            reply.pieces.emplace_back("0\r\n\r\n");
            // Lets the gateway receive the parts one by one.
            reply.pause = state::milliseconds(20);
            return reply;
        };
        test.add_backend("e1", "models", script, {"m1"});
        test.add_backend("e2", "models", script, {"m1"});
        test.put_config(1, 5000, attempts);
        test.start();
        take_memory(test);
        const auto response = test.fetch(test.request("/stream/x", "a1", "m1"));
        REQUIRE(response);
        CHECK(response->body() ==
              test::event(1) + joined(parts_of_event(2)) + test::event(3));
        CHECK(calls == 1);
    }
}

// Guards against a stream that continues after a part of an event with that event's
// beginning, and against one that is not resumed although only whole events were passed
// on.
TEST_CASE("a stream is not resumed inside an event that was passed on in pieces")
{
    struct row
    {
        std::string name;
        /// Number of parts of the second event before the break.
        std::size_t parts;
        bool is_resumed;
    };
    const std::vector<row> rows{
        {"before the event", 0, true},
        {"inside the event", 2, false},
        {"after the event", 3, true},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        gateway_fixture test;
        std::vector<std::string> resumed_after;
        const auto script = [&](const transport::http_request& request) -> raw_reply
        {
            if (!is_stream(request))
                return not_found();
            resumed_after.emplace_back(request["Last-Event-Id"]);
            const std::vector<std::string> parts = parts_of_event(2);
            raw_reply reply{{stream_head("a1")}};
            if (resumed_after.back().empty())
            {
                reply.pieces.push_back(chunk(test::event(1)));
                for (std::size_t i = 0; i < item.parts; ++i)
                    reply.pieces.push_back(chunk(parts[i]));
                reply.end = reply_end::close;
            }
            else
            {
                if (resumed_after.back() == "1")
                    reply.pieces.push_back(chunk(joined(parts)));
                reply.pieces.push_back(chunk(test::event(3)) + "0\r\n\r\n");
            }
            reply.pause = state::milliseconds(20);
            return reply;
        };
        test.add_backend("e1", "models", script, {"m1"});
        test.add_backend("e2", "models", script, {"m1"});
        test.put_config(1, 5000, 2);
        test.start();
        take_memory(test);
        const auto response = test.fetch(test.request("/stream/x", "a1", "m1"));
        REQUIRE(response.has_value() == item.is_resumed);
        CHECK(resumed_after.size() == (item.is_resumed ? 2 : 1));
        if (item.is_resumed)
        {
            CHECK(response->body() ==
                  test::event(1) + joined(parts_of_event(2)) + test::event(3));
            CHECK(resumed_after.back() == (item.parts == 0 ? "1" : "2"));
        }
    }
}
