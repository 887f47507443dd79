#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using test::chunk;
using test::event;
using test::gateway_fixture;
using test::raw_reply;
using test::reply_end;
using test::stream_head;

std::string events(int from, int to)
{
    std::string text;
    for (int id = from; id <= to; ++id)
        text += event(id);
    return text;
}

} // namespace

// Failure: a gateway continues a stream at an engine of another software version.
TEST_CASE("a gateway continues a stream only at the software version that began it")
{
    gateway_fixture test;
    int calls = 0;
    std::string first;
    std::string second;
    const auto script_of = [&](const std::string& id)
    {
        return [&, id](const transport::http_request&)
        {
            if (++calls == 1)
            {
                first = id;
                return raw_reply{{stream_head("a1"), chunk(events(1, 3))},
                                 reply_end::reset};
            }
            second = id;
            return raw_reply{{stream_head("a1"), chunk(events(4, 6)), "0\r\n\r\n"}};
        };
    };
    SUBCASE("another engine of the version serves")
    {
        test.software = {{"e1", "v1"}, {"e2", "v2"}, {"e3", "v1"}, {"e4", "v2"}};
        for (const auto& [id, version] : test.software)
            test.add_backend(id, "models", script_of(id), {"m1"});
        test.put_config(1);
        test.start();
        const auto response = test.fetch(test.request("/stream/x", "a1", "m1"));
        REQUIRE(response);
        CHECK(response->body() == events(1, 6));
        REQUIRE(calls == 2);
        CHECK(test.software[first] == test.software[second]);
    }
    SUBCASE("no other engine of the version serves")
    {
        test.software = {{"e1", "v1"}, {"e2", "v2"}};
        for (const auto& [id, version] : test.software)
            test.add_backend(id, "models", script_of(id), {"m1"});
        test.put_config(1);
        test.start();
        CHECK_FALSE(test.fetch(test.request("/stream/x", "a1", "m1")));
        CHECK(calls == 1);
    }
}
