#include "app/node/admin_api.hpp"

#include "app/node/refuse.hpp"
#include "app/node/reply_slot.hpp"
#include "state/error.hpp"
#include "state/json_reader.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <string>
#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using protocol::run_state;
using state::error;
using state::error_code;
using transport::http_response;
using transport::json_response;
using transport::status;
using transport::verb;

namespace
{

// Longer than verdict_timeout of the settings component, which replies to every proposal
// when that timeout expires at the latest.
constexpr state::milliseconds reply_timeout{10000};

protocol::refusal refusal_of(const std::optional<settings_outcome>& outcome)
{
    protocol::refusal refusal(outcome && outcome->failure
                                  ? *outcome->failure
                                  : error(error_code::outcome_unknown, "settings",
                                          "no verdict before the timeout"));
    if (refusal.code == error_code::outcome_unknown)
        refusal.run = run_state::unknown;
    return refusal;
}

// GCC 12 cannot keep initializer lists of JSON objects in a coroutine frame, so these
// functions build the bodies.
std::string format_settings(const settings_state& settings)
{
    return boost::json::serialize(
        boost::json::object{{"version", settings.version}, {"tree", settings.tree}});
}

std::string format_history(const std::deque<decided_proposal>& history)
{
    boost::json::array proposals;
    for (const decided_proposal& item : history)
    {
        proposals.push_back(
            boost::json::object{{"offset", item.offset},
                                {"id", item.result.id},
                                {"base_version", item.base_version},
                                {"author", item.author},
                                {"verdict", to_string(item.result.verdict)},
                                {"version", item.result.version},
                                {"reason", item.result.reason}});
    }
    return boost::json::serialize(
        boost::json::object{{"proposals", std::move(proposals)}});
}

std::string format_verdict(const protocol::proposal_result& result)
{
    return boost::json::serialize(
        boost::json::object{{"verdict", to_string(result.verdict)},
                            {"version", result.version},
                            {"reason", result.reason}});
}

} // namespace

admin_api::admin_api(const node_identity& node, const view_cell& view_source,
                     control_mailbox& control_events, settings_component& settings_owner,
                     const state::event_log& event_log)
    : identity(node),
      views(view_source),
      control(control_events),
      settings(settings_owner),
      events(event_log)
{
}

asio::awaitable<void> admin_api::handle(transport::http_exchange& exchange)
{
    const transport::http_request& request = exchange.request();
    const std::string_view path = transport::target_path(request.target());
    if (path == "/admin/settings" && request.method() == verb::get)
        co_await this->get_settings(exchange);
    else if (path == "/admin/settings" && request.method() == verb::post)
        co_await this->post_settings(exchange);
    else if (path == "/admin/settings/history" && request.method() == verb::get)
        co_await this->get_history(exchange);
    else if (path == "/admin/status" && request.method() == verb::get)
        co_await exchange.respond(this->status_response());
    else if (path == "/admin/timeline" && request.method() == verb::get)
        co_await exchange.respond(this->timeline_response(request.target()));
    else
    {
        throw error(error_code::not_found, std::string(request.target()),
                    "no such operation; expected GET or POST /admin/settings, GET "
                    "/admin/settings/history, GET /admin/status or GET /admin/timeline");
    }
}

asio::awaitable<void> admin_api::get_settings(transport::http_exchange& exchange)
{
    const auto slot =
        std::make_shared<reply_slot<settings_state>>(co_await asio::this_coro::executor);
    this->request_settings(slot);
    const std::optional<settings_state> reply = co_await slot->wait(reply_timeout);
    if (!reply)
        throw error(error_code::overloaded, "control thread",
                    "no reply before the timeout");
    if (!reply->known)
        throw error(error_code::settings_unknown, "node",
                    "no settings received from the log or a peer yet");
    co_await exchange.respond(json_response(status::ok, format_settings(*reply)));
}

void admin_api::request_settings(const std::shared_ptr<reply_slot<settings_state>>& slot)
{
    control_event task = control_task{
        [this, slot]
        {
            const auto& fold = this->settings.fold();
            slot->deliver({fold.resolved() != nullptr, fold.version(), fold.tree()});
        }};
    if (!this->control.try_push(std::move(task)))
        throw error(error_code::overloaded, "control thread", "its mailbox is full");
}

asio::awaitable<void> admin_api::get_history(transport::http_exchange& exchange)
{
    const auto slot =
        std::make_shared<reply_slot<std::string>>(co_await asio::this_coro::executor);
    this->request_history(slot);
    std::optional<std::string> reply = co_await slot->wait(reply_timeout);
    if (!reply)
        throw error(error_code::overloaded, "control thread",
                    "no reply before the timeout");
    co_await exchange.respond(json_response(status::ok, std::move(*reply)));
}

void admin_api::request_history(const std::shared_ptr<reply_slot<std::string>>& slot)
{
    control_event task = control_task{
        [this, slot] { slot->deliver(format_history(this->settings.history())); }};
    if (!this->control.try_push(std::move(task)))
        throw error(error_code::overloaded, "control thread", "its mailbox is full");
}

asio::awaitable<void> admin_api::post_settings(transport::http_exchange& exchange)
{
    const auto slot = std::make_shared<reply_slot<settings_outcome>>(
        co_await asio::this_coro::executor);
    this->request_change(exchange.request().body(), slot);
    const std::optional<settings_outcome> outcome = co_await slot->wait(reply_timeout);
    if (outcome && outcome->result)
    {
        const bool accepted =
            outcome->result->verdict == protocol::proposal_verdict::accepted;
        co_await exchange.respond(json_response(accepted ? status::ok : status::conflict,
                                                format_verdict(*outcome->result)));
        co_return;
    }
    const protocol::refusal refusal = refusal_of(outcome);
    co_await refuse(exchange, refusal);
}

void admin_api::request_change(const std::string& body,
                               const std::shared_ptr<reply_slot<settings_outcome>>& slot)
{
    const auto value = state::parse_json(body, "body");
    state::json_reader reader(value, "body");
    const std::uint64_t base_version = reader.get_uint64("base_version");
    const std::string author = reader.get_string("author", "");
    const boost::json::value tree = reader.require("tree");
    reader.finish();
    // Validates the tree before it is proposed, so that an invalid tree costs no log
    // record.
    state::resolve_settings(tree, "body#/tree");
    control_event task =
        control_task{[this, slot, base_version, author, tree]
                     {
                         this->settings.propose(base_version, author, tree,
                                                [slot](const settings_outcome& outcome)
                                                { slot->deliver(outcome); });
                     }};
    if (!this->control.try_push(std::move(task)))
        throw error(error_code::overloaded, "control thread", "its mailbox is full");
}

http_response admin_api::status_response() const
{
    const auto view = this->views.load();
    boost::json::array engines;
    for (const state::backend_view& engine : view->engines)
    {
        engines.push_back(boost::json::object{{"id", engine.id},
                                              {"address", engine.address},
                                              {"zone", engine.zone},
                                              {"leaving", engine.leaving},
                                              {"running", engine.load.running},
                                              {"queued", engine.load.queued}});
    }
    boost::json::array models;
    for (const auto& [key, model] : view->models)
    {
        models.push_back(boost::json::object{{"model", key},
                                             {"copies", model.replicas.engines.size()}});
    }
    boost::json::array nodes;
    for (const state::node_address& node : view->nodes)
    {
        nodes.push_back(boost::json::object{{"id", node.id},
                                            {"address", node.address},
                                            {"zone", node.zone},
                                            {"ready", node.ready}});
    }
    return json_response(status::ok, boost::json::serialize(boost::json::object{
                                         {"node", this->identity.id},
                                         {"incarnation", this->identity.incarnation},
                                         {"ready", to_string(view->ready)},
                                         {"settings_version", view->settings_version},
                                         {"settings_offset", view->settings_offset},
                                         {"nodes", std::move(nodes)},
                                         {"engines", std::move(engines)},
                                         {"models", std::move(models)}}));
}

http_response admin_api::timeline_response(std::string_view target) const
{
    std::uint64_t from = 0;
    const std::string_view text = transport::target_query(target, "from");
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), from);
    if (!text.empty() &&
        (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()))
        throw error(error_code::invalid_argument, "query from",
                    "expected a non-negative integer");
    boost::json::array list;
    for (const state::timeline_event& event : this->events.since(from))
    {
        boost::json::object fields;
        for (const state::event_field& field : event.fields)
            fields[field.key] = field.value;
        list.push_back(boost::json::object{{"wall_time_us", event.wall_time_us},
                                           {"sequence", event.sequence},
                                           {"node", event.node},
                                           {"incarnation", event.incarnation},
                                           {"kind", event.kind},
                                           {"fields", std::move(fields)}});
    }
    return json_response(status::ok, boost::json::serialize(boost::json::object{
                                         {"events", std::move(list)}}));
}

} // namespace pomelorouter::app
