#include "app/gateway/process/control_handler.hpp"

#include "state/error.hpp"

namespace pomelorouter::app
{

control_handler::control_handler(gateway_state& gateway, const peer_gossip& gateway_peers,
                                 const store_watcher& store_state)
    : shared(gateway), peers(gateway_peers), watcher(store_state)
{
}

boost::asio::awaitable<void> control_handler::handle(transport::http_exchange& exchange)
{
    using transport::status;
    const std::string_view path = transport::target_path(exchange.request().target());
    if (path == "/gateway/members")
        co_await exchange.respond(
            transport::json_response(status::ok, this->peers.members_json()));
    else if (path == "/gateway/config" && this->watcher.config_version() >= 0)
        co_await exchange.respond(
            transport::json_response(status::ok, this->watcher.config_document()));
    else if (path == "/metrics")
        co_await exchange.respond(
            transport::text_response(status::ok, this->shared.counters.render()));
    else
        throw state::error(state::error_code::not_found, std::string(path),
                           "/gateway/members, /gateway/config or /metrics");
}

} // namespace pomelorouter::app
