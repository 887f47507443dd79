#include "app/node/caller_api.hpp"

#include "app/node/process_clock.hpp"
#include "protocol/caller_api.hpp"
#include "protocol/refusal.hpp"
#include "state/error.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <string>
#include <string_view>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using state::error;
using state::error_code;
using transport::http_response;
using transport::json_response;
using transport::status;
using transport::text_response;
using transport::verb;

namespace
{

constexpr std::string_view services_prefix = "/services/";
constexpr std::string_view admin_prefix = "/admin/";

void require_method(const transport::http_request& request, verb expected)
{
    if (request.method() != expected)
    {
        throw error(error_code::method_not_allowed, std::string(request.target()),
                    "expected " + std::string(boost::beast::http::to_string(expected)));
    }
}

} // namespace

caller_api::caller_api(const node_identity& identity, const view_cell& view_source,
                       completion_proxy& completion, service_proxy& service,
                       admin_api& admin_handler,
                       const state::counter_registry& counter_source)
    : views(view_source),
      completions(completion),
      services(service),
      admin(admin_handler),
      counters(counter_source),
      keys(identity)
{
}

asio::awaitable<void> caller_api::handle(transport::http_exchange& exchange)
{
    const transport::http_request& request = exchange.request();
    const std::string_view path = transport::target_path(request.target());
    if (path == "/v1/completions" || path == "/v1/chat/completions")
    {
        require_method(request, verb::post);
        co_await this->completions.handle(
            exchange, path == "/v1/completions" ? protocol::completion_form::completion
                                                : protocol::completion_form::chat);
    }
    else if (path.starts_with(services_prefix))
        co_await this->services.handle(exchange);
    else if (path.starts_with(admin_prefix))
        co_await this->admin.handle(exchange);
    else if (path == "/v1/addresses")
        co_await exchange.respond(this->address_response(request.target()));
    else if (path == "/v1/models")
        co_await exchange.respond(this->models_response());
    else if (path == "/healthz")
        co_await exchange.respond(text_response(status::ok, "ok\n"));
    else if (path == "/readyz")
        co_await exchange.respond(this->ready_response());
    else if (path == "/metrics")
        co_await exchange.respond(text_response(status::ok, this->counters.render()));
    else
    {
        throw error(error_code::not_found, std::string(path),
                    "unknown path; docs/operations.md lists the paths");
    }
}

http_response caller_api::address_response(std::string_view target)
{
    const auto view = this->views.load();
    protocol::address_response response;
    response.ttl_s = 1;
    if (view->current_settings)
        response.ttl_s =
            view->current_settings->attributes.get(state::attribute::address_ttl_s);
    for (const state::node_address& node : view->nodes)
    {
        if (node.ready)
            response.addresses.push_back({node.address, node.zone});
    }
    response.keys = this->keys.make(parse_key_count(target), process_wall_s());
    return json_response(status::ok, protocol::format_addresses(response));
}

http_response caller_api::models_response() const
{
    const auto view = this->views.load();
    boost::json::array data;
    for (const auto& [key, model] : view->models)
    {
        data.push_back(boost::json::object{{"id", model.settings->name},
                                           {"object", "model"},
                                           {"owned_by", model.settings->service}});
        for (const auto& [adapter, unused] : model.settings->adapters)
        {
            data.push_back(
                boost::json::object{{"id", model.settings->name + ":" + adapter},
                                    {"object", "model"},
                                    {"owned_by", model.settings->service}});
        }
    }
    return json_response(status::ok, boost::json::serialize(boost::json::object{
                                         {"object", "list"}, {"data", std::move(data)}}));
}

http_response caller_api::ready_response() const
{
    const auto view = this->views.load();
    const bool ready = view->ready == state::readiness::ready;
    return text_response(ready ? status::ok : status::service_unavailable,
                         std::string(to_string(view->ready)) + "\n");
}

} // namespace pomelorouter::app
