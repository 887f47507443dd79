#include "app/node/service_proxy.hpp"

#include "app/node/refuse.hpp"
#include "state/error.hpp"
#include "transport/http_error.hpp"

#include <string>
#include <string_view>
#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using protocol::run_state;
using state::attribute;
using state::error;
using state::error_code;

namespace
{

constexpr std::string_view prefix = "/services/";
constexpr state::milliseconds default_retry_after{1000};

} // namespace

service_proxy::service_proxy(const view_cell& view_source, transport::http_client& http,
                             state::counter_registry& counters)
    : views(view_source),
      client(http),
      calls(counters.count("service_calls_total", "calls sent to plain services"))
{
}

asio::awaitable<void> service_proxy::handle(transport::http_exchange& exchange)
{
    const auto view = this->views.load();
    if (!view->current_settings)
        throw error(error_code::settings_unknown, "node",
                    "settings from the log or a peer");
    const std::string_view target = exchange.request().target();
    const std::string_view rest = target.substr(prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string name(rest.substr(0, slash));
    const auto found = view->plain_services.find(name);
    if (slash == std::string_view::npos || found == view->plain_services.end())
        throw error(error_code::not_found, std::string(target),
                    "/services/{service}/{path}");
    const state::service_view& service = found->second;
    const state::backend_view* backend = nullptr;
    for (std::size_t step = 0; step < service.backends.size() && backend == nullptr;
         ++step)
    {
        const auto index =
            service.backends[(this->rotation + step) % service.backends.size()];
        if (!view->services[index].leaving)
            backend = &view->services[index];
    }
    ++this->rotation;
    protocol::refusal refusal;
    refusal.retry_after = default_retry_after;
    if (backend == nullptr)
    {
        refusal.code = error_code::no_backend_server;
        refusal.message = "no live backend server of the service";
        co_await refuse(exchange, refusal);
        co_return;
    }
    const state::attribute_values& attributes = service.settings->attributes;
    transport::http_call_options options;
    options.fresh_connection = true;
    options.connect_timeout =
        state::milliseconds(attributes.get(attribute::connect_timeout_ms));
    options.progress_timeout =
        state::milliseconds(attributes.get(attribute::progress_timeout_ms));
    transport::http_request request = exchange.request();
    request.target(rest.substr(slash));
    request.keep_alive(true);
    std::optional<transport::http_error> failed;
    transport::http_response response;
    try
    {
        this->calls.add();
        response = co_await this->client.fetch(backend->address, request, options);
    }
    catch (const transport::http_error& failure)
    {
        failed = failure;
    }
    if (!failed)
    {
        co_await exchange.respond(std::move(response));
        co_return;
    }
    refusal.code = failed->code();
    refusal.message = failed->what();
    refusal.run =
        failed->request_may_have_left() ? run_state::unknown : run_state::not_run;
    co_await refuse(exchange, refusal);
}

} // namespace pomelorouter::app
