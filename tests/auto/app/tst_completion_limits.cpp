#include "app/node/completion_limits.hpp"

#include "state/error.hpp"
#include "state/settings.hpp"

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <string>

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file

namespace
{

state::node_view make_view(const std::string& tree)
{
    state::node_view view;
    view.current_settings = std::make_shared<const state::settings>(
        state::resolve_settings(boost::json::parse(tree), "tree"));
    for (const auto& [service_name, service] : view.current_settings->services)
    {
        for (const auto& [name, model] : service.models)
            view.models[service_name + "/" + name].settings = &model;
    }
    return view;
}

app::completion_state request_for(const std::string& model, const std::string& adapter)
{
    app::completion_state request;
    request.received = state::time_point{std::chrono::hours(1)};
    request.completion.model = model;
    request.completion.adapter = adapter;
    return request;
}

constexpr const char* tree =
    R"({"attributes":{"deadline_ms":7000},
        "services":{"s":{"attributes":{"max_in_flight":10},
                         "models":{"m":{"bytes":1,"adapters":{"a":{"bytes":1}}}}}}})";

} // namespace

// Guards against an invalid deadline header that is parsed in part, ignored, or used as
// the deadline.
TEST_CASE("an invalid deadline header is refused; without one the settings apply")
{
    struct row
    {
        const char* header;
        std::int64_t deadline_ms; // 0: refused
    };
    const row rows[] = {
        {nullptr, 7000}, {"1", 1},    {"250", 250},   {"3600000", 3600000},
        {"0", 0},        {"-5", 0},   {"", 0},        {"12x", 0},
        {"1.5", 0},      {" 10", 10}, {"3600001", 0}, {"99999999999999999999", 0}};
    const state::node_view view = make_view(tree);
    for (const row& item : rows)
    {
        CAPTURE(item.header);
        transport::http_request http;
        if (item.header != nullptr)
            http.set("X-Deadline-Ms", item.header);
        app::completion_state request = request_for("m", "");
        if (item.deadline_ms == 0)
        {
            CHECK_THROWS_AS(app::resolve_request(request, view, http), state::error);
            continue;
        }
        app::resolve_request(request, view, http);
        CHECK(request.deadline - request.received ==
              state::milliseconds(item.deadline_ms));
    }
}

// Guards against every node applying the whole limit, which is meant for all nodes
// together, and against a share of 0, which would mean no limit.
TEST_CASE("a node applies its share of a limit, at least one request")
{
    state::node_view view = make_view(tree);
    app::completion_state request = request_for("m", "a");
    app::resolve_request(request, view, transport::http_request());
    CHECK(request.model_key == "s/m");
    std::int64_t sum = 0;
    for (const char* id : {"n1", "n2", "n3"})
    {
        state::node_address node;
        node.id = id;
        node.ready = true;
        view.nodes.push_back(node);
    }
    for (const char* id : {"n1", "n2", "n3"})
        sum += app::limits_of(request, view, id).service_in_flight;
    CHECK(sum == 10);
    for (int i = 0; i < 30; ++i)
    {
        view.nodes.push_back(view.nodes.back());
        view.nodes.back().id += "x";
    }
    CHECK(app::limits_of(request, view, "n1").service_in_flight == 1);
    app::completion_state unknown = request_for("m", "other");
    CHECK_THROWS_AS(app::resolve_request(unknown, view, transport::http_request()),
                    state::error);
}
