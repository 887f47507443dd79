#include "app/commands/settings_apply.hpp"
#include "app/commands/timeline_command.hpp"
#include "loopback_server.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

#include <sstream>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using app::exit_code;
using transport::json_response;
using transport::status;

/// Reaction of a node to a proposed settings change.
enum class behaviour
{
    accept,
    accept_and_lose_answer,
    other_change_and_lose_answer,
    conflict,
    refuse,
};

/// Fake node that holds a settings tree and processes one proposal.
struct fake_node
{
    behaviour mode;
    std::uint64_t version = 4;
    boost::json::value tree = boost::json::object{};

    std::optional<transport::http_response> answer(const transport::http_request& request)
    {
        if (request.method() == transport::verb::get)
        {
            return json_response(status::ok,
                                 boost::json::serialize(boost::json::object{
                                     {"version", this->version}, {"tree", this->tree}}));
        }
        const auto body = boost::json::parse(request.body()).get_object();
        if (this->mode == behaviour::refuse)
        {
            return json_response(
                status::service_unavailable,
                R"({"error":{"type":"rate_limited","message":"m","run":"not_run"}})");
        }
        if (this->mode == behaviour::conflict)
        {
            return json_response(status::conflict,
                                 R"({"verdict":"conflict","version":5,"reason":"r"})");
        }
        ++this->version;
        this->tree = this->mode == behaviour::other_change_and_lose_answer
                         ? boost::json::parse(R"({"services":{"other":{}}})")
                         : body.at("tree");
        if (this->mode != behaviour::accept)
            return std::nullopt;
        return json_response(status::ok,
                             R"({"verdict":"accepted","version":5,"reason":""})");
    }
};

} // namespace

// Guards against a report to the operator that a change is in force when it is not, or
// the reverse, in particular if the response of the node is lost.
TEST_CASE("settings apply reports the verdict of the node, also if the response is lost")
{
    struct row
    {
        behaviour mode;
        const char* tree;
        const char* input;
        std::optional<std::uint64_t> base;
        exit_code code;
        const char* text;
        int requests;
    };
    const char* const changed = R"({"services":{"s":{}}})";
    const row rows[] = {
        {behaviour::accept, changed, "y\n", {}, exit_code::success, "accepted", 2},
        {behaviour::accept, changed, "n\n", {}, exit_code::refused, "not applied", 1},
        {behaviour::accept, changed, "", {}, exit_code::refused, "not applied", 1},
        {behaviour::accept, "{}", "", {}, exit_code::success, "no change", 1},
        {behaviour::accept, changed, "y\n", 3, exit_code::refused, "conflict", 1},
        {behaviour::conflict, changed, "y\n", {}, exit_code::refused, "conflict", 2},
        {behaviour::accept_and_lose_answer,
         changed,
         "y\n",
         {},
         exit_code::success,
         "accepted",
         3},
        {behaviour::other_change_and_lose_answer,
         changed,
         "y\n",
         {},
         exit_code::refused,
         "another change",
         3},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.text);
        fake_node node{item.mode};
        test::loopback_server server([&](const transport::http_request& request)
                                     { return node.answer(request); });
        // Nothing listens at the first address, so the client uses the second one.
        app::node_client client({"127.0.0.1:1", server.address});
        app::settings_change change;
        change.tree = boost::json::parse(item.tree);
        change.base_version = item.base;
        std::istringstream input(item.input);
        std::ostringstream output;
        CHECK(app::apply_settings(client, change, input, output) == item.code);
        CHECK(output.str().find(item.text) != std::string::npos);
        CHECK(server.requests == item.requests);
    }
}

// Guards against a failure that the exit code reports as success.
TEST_CASE("settings apply throws an error if no node answers or the node rejects it")
{
    app::settings_change change;
    change.tree = boost::json::parse(R"({"services":{"s":{}}})");
    change.ask_confirmation = false;
    std::istringstream input;
    std::ostringstream output;
    app::node_client unreachable_client({"127.0.0.1:1"});
    CHECK_THROWS_AS(app::apply_settings(unreachable_client, change, input, output),
                    app::nodes_unreachable);
    fake_node node{behaviour::refuse};
    test::loopback_server server([&](const transport::http_request& request)
                                 { return node.answer(request); });
    app::node_client client({server.address});
    CHECK_THROWS_AS(app::apply_settings(client, change, input, output), state::error);
    CHECK(node.version == 4);
}

// Guards against events of one node that are printed in the wrong order.
TEST_CASE("events are sorted by wall time and, if it is equal, by node and sequence")
{
    const auto event = [](std::int64_t time, const char* node, int sequence)
    {
        return boost::json::object{{"wall_time_us", time},
                                   {"node", node},
                                   {"incarnation", 1},
                                   {"sequence", sequence}};
    };
    boost::json::array events{event(5, "a", 1), event(9, "a", 2), event(5, "b", 0),
                              event(5, "a", 0), event(1, "b", 7)};
    app::sort_events(events);
    const boost::json::array expected{event(1, "b", 7), event(5, "a", 0),
                                      event(5, "a", 1), event(5, "b", 0),
                                      event(9, "a", 2)};
    CHECK(events == expected);
}
