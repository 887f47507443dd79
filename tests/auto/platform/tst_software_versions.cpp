#include "gateway_fixture.hpp"

#include <boost/asio/co_spawn.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

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

/// Three gateways before engines of two versions, whose streams break off after the
/// third event unless they are resumed.
struct two_versions
{
    two_versions()
    {
        this->test.software = {{"e1", "v1"}, {"e2", "v2"}, {"e3", "v1"}, {"e4", "v2"}};
        for (const auto& [id, version] : this->test.software)
            this->add(id);
        // One attempt, so that only clients resume.
        this->test.put_config(1, 5000, 1);
        this->test.start();
        for (const char* node : {"gateway-2", "gateway-3"})
        {
            state::gateway_settings settings = this->test.settings;
            settings.node_id = node;
            settings.seeds = {this->test.gateway->own_settings().control_listen};
            this->others.push_back(std::make_unique<app::gateway>(
                this->test.loop, settings, this->test.settings_path, *this->test.adapter,
                this->test.counters));
            this->others.back()->start();
        }
        this->test.run_until(
            [this]
            {
                return std::all_of(this->others.begin(), this->others.end(),
                                   [](const auto& item) {
                                       return item->is_ready() &&
                                              item->shared_state().gateways == 3;
                                   }) &&
                       this->test.gateway->shared_state().gateways == 3;
            });
    }

    void add(const std::string& id)
    {
        this->test.add_backend(
            id, "models",
            [this, id](const transport::http_request& request)
            {
                const std::string attempt(request["X-Pomelorouter-Attempt-Id"]);
                this->runs[attempt] = this->test.software[id];
                if (request["Last-Event-Id"].empty())
                    return raw_reply{{stream_head(attempt), chunk(events(1, 3))},
                                     reply_end::reset};
                return raw_reply{
                    {stream_head(attempt), chunk(events(4, 6)), "0\r\n\r\n"}};
            },
            {"m1"});
    }

    /// Resumes the stream of `first` and returns the status; 0 without a response.
    unsigned resume(app::gateway& gateway, const std::string& attempt,
                    const std::string& first)
    {
        auto request = this->test.request("/stream/x", attempt, "m1");
        request.set("Last-Event-Id", "3");
        request.set("Resumes", first);
        const auto response =
            this->test.fetch_from(gateway.own_settings().listen, request);
        return response ? response->result_int() : 0;
    }

    gateway_fixture test;
    std::vector<std::unique_ptr<app::gateway>> others;
    /// Version that ran an attempt.
    std::map<std::string, std::string> runs;
};

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

// Failure: a client resumes a stream at another gateway, which does not know the version
// that began it.
TEST_CASE("a stream that a client resumes goes on at the software version that began it")
{
    two_versions fleet;
    for (int i = 0; i < 12; ++i)
    {
        const std::string first = "first-" + std::to_string(i);
        CHECK_FALSE(fleet.test.fetch(fleet.test.request("/stream/x", first, "m1")));
        fleet.test.run_for(state::milliseconds(250));
        for (std::size_t other = 0; other < fleet.others.size(); ++other)
        {
            const std::string second = first + "-again-" + std::to_string(other);
            CHECK(fleet.resume(*fleet.others[other], second, first) == 200);
            CHECK(fleet.runs[second] == fleet.runs[first]);
        }
    }
}

TEST_CASE("a stream whose software version nobody knows is refused and not run")
{
    two_versions fleet;
    CHECK(fleet.resume(*fleet.others[0], "again", "unheard-of") == 503);
    CHECK(fleet.resume(*fleet.others[0], "unnamed", "") == 503);
    CHECK(fleet.runs.empty());
}

TEST_CASE("a stream is refused at once when the software version that began it is gone")
{
    two_versions fleet;
    CHECK_FALSE(fleet.test.fetch(fleet.test.request("/stream/x", "first", "m1")));
    fleet.test.run_for(state::milliseconds(250));
    const std::string gone = fleet.runs["first"];
    for (const auto& [id, version] : fleet.test.software)
    {
        if (version == gone)
            fleet.test.store.put("keyed.servers", id, "");
    }
    fleet.test.run_until(
        [&]
        {
            const auto& all = fleet.others[0]->shared_state().directory.all();
            return std::none_of(all.begin(), all.end(),
                                [&](const auto& item)
                                { return item.second->entry.software == gone; });
        });
    const state::time_point begin = state::now();
    CHECK(fleet.resume(*fleet.others[0], "again", "first") == 503);
    CHECK(state::since(begin) < state::milliseconds(1000));
    CHECK(fleet.runs.count("again") == 0);
}

TEST_CASE("without any other software version a stream goes on whoever began it")
{
    gateway_fixture test;
    for (const char* id : {"e1", "e2"})
    {
        test.software[id] = "v1";
        test.add_backend(id, "models",
                         [](const transport::http_request&) {
                             return raw_reply{{stream_head("again"), chunk(events(4, 6)),
                                               "0\r\n\r\n"}};
                         },
                         {"m1"});
    }
    // The version must have been the only one for as long as the stream may be old.
    test.put_config(1, 500);
    test.start();
    test.run_for(state::milliseconds(1000));
    auto request = test.request("/stream/x", "again", "m1");
    request.set("Last-Event-Id", "3");
    request.set("Resumes", "unheard-of");
    const auto response = test.fetch(request);
    REQUIRE(response);
    CHECK(response->body() == events(4, 6));
}

// Failure: clients that name no attempt cannot resume at a gateway that has just started.
TEST_CASE("a client that names no attempt resumes while one software version serves")
{
    gateway_fixture test;
    test.software["e1"] = "v1";
    test.add_backend(
        "e1", "models",
        [](const transport::http_request&) {
            return raw_reply{{stream_head("again"), chunk(events(4, 6)), "0\r\n\r\n"}};
        },
        {"m1"});
    test.put_config(1);
    test.start();
    auto request = test.request("/stream/x", "again", "m1");
    request.set("Last-Event-Id", "3");
    const auto response = test.fetch(request);
    REQUIRE(response);
    CHECK(response->body() == events(4, 6));
}

// Failure: a stream that is resumed is refused by the estimate for a whole one.
TEST_CASE("a stream that a client resumes is not refused by the estimate of a new one")
{
    gateway_fixture test;
    test.software["e1"] = "v1";
    test.add_backend("e1", "models",
                     [](const transport::http_request& request)
                     {
                         return raw_reply{{stream_head(std::string(
                                               request["X-Pomelorouter-Attempt-Id"])),
                                           chunk(events(4, 6)), "0\r\n\r\n"}};
                     },
                     {"m1"});
    test.put_config(1);
    test.start();
    auto request = test.request("/stream/x", "new", "m1");
    // Would take longer than the time limit.
    request.set("X-Pomelorouter-Token-Count", "100,4000");
    const auto refused = test.fetch(request);
    REQUIRE(refused);
    CHECK(refused->result_int() == 429);
    request.set("X-Pomelorouter-Attempt-Id", "again");
    request.set("Last-Event-Id", "3");
    const auto resumed = test.fetch(request);
    REQUIRE(resumed);
    CHECK(resumed->result_int() == 200);
    CHECK(resumed->body() == events(4, 6));
}

// Failure: a stream that is resumed is refused by the queue for new requests.
TEST_CASE("a stream that a client resumes does not queue behind new requests")
{
    gateway_fixture test;
    test.software["e1"] = "v1";
    test.add_backend(
        "e1", "models",
        [](const transport::http_request& request)
        {
            const std::string attempt(request["X-Pomelorouter-Attempt-Id"]);
            if (attempt == "long")
                return raw_reply{{}, reply_end::silent};
            return raw_reply{{stream_head(attempt), chunk(events(4, 6)), "0\r\n\r\n"}};
        },
        {"m1"});
    test.put_config(1);
    test.start();
    // Takes the engine 2.5 s to read.
    auto request = test.request("/stream/x", "long", "m1");
    request.set("X-Pomelorouter-Token-Count", "50000,20");
    transport::http_call_options options;
    options.progress_timeout = state::milliseconds(15000);
    const auto send_long = [&]() -> boost::asio::awaitable<void> {
        co_await test.client.fetch(test.gateway->own_settings().listen, request, options);
    };
    bool is_done = false;
    boost::asio::co_spawn(test.loop, send_long(),
                          [&](const std::exception_ptr&) { is_done = true; });
    const auto answer_of = [&](const std::string& attempt, bool is_resumed)
    {
        auto next = test.request("/stream/x", attempt, "m1");
        next.set("X-Pomelorouter-Deadline-Ms", "2000");
        if (is_resumed)
            next.set("Last-Event-Id", "3");
        const auto response = test.fetch(next);
        return response ? response->result_int() : 0U;
    };
    test.run_until([&] { return !test.backends[0]->requests.empty(); });
    CHECK(answer_of("new", false) == 429);
    CHECK(answer_of("again", true) == 200);
    test.run_until([&] { return is_done; });
}
