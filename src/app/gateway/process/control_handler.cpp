#include "app/gateway/process/control_handler.hpp"

#include "app/gateway/process/explanation.hpp"
#include "state/error.hpp"

#include <boost/json/serialize.hpp>

#include <charconv>

namespace pomelorouter::app
{

namespace
{

/// Parses a query argument; empty text gives none. Throws `state::error` (`out_of_range`)
/// if the text is not a number.
std::optional<std::uint64_t> read_number(std::string_view text, const char* name)
{
    if (text.empty())
        return std::nullopt;
    std::uint64_t value = 0;
    const auto [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc() || end != text.data() + text.size())
        throw state::error(state::error_code::out_of_range, name,
                           "expected a decimal number");
    return value;
}

} // namespace

control_handler::control_handler(gateway_state& gateway, const peer_gossip& gateway_peers,
                                 const config_watcher& config_state,
                                 backend_watcher& backend_state,
                                 permit_exchange& send_permits,
                                 const stream_origin_exchange& stream_origins,
                                 const request_dialect& request_format,
                                 transport::http_client& backend_client)
    : shared(gateway),
      peers(gateway_peers),
      config(config_state),
      backends(backend_state),
      permits(send_permits),
      origins(stream_origins),
      dialect(request_format),
      client(backend_client)
{
}

boost::asio::awaitable<void> control_handler::handle(transport::http_exchange& exchange)
{
    using transport::status;
    const std::string_view path = transport::target_path(exchange.request().target());
    if (path == "/gateway/members")
        co_await exchange.respond(
            transport::json_response(status::ok, this->peers.members_json()));
    else if (path == "/gateway/config" && this->config.config_version() >= 0)
        co_await exchange.respond(
            transport::json_response(status::ok, this->config.config_document()));
    else if (path == "/gateway/backends")
    {
        const std::string_view target = exchange.request().target();
        feed_position position;
        position.from = read_number(transport::target_query(target, "from"), "from");
        position.era =
            read_number(transport::target_query(target, "era"), "era").value_or(0);
        position.store =
            read_number(transport::target_query(target, "store"), "store").value_or(0);
        std::string page = co_await this->backends.wait_for_page(position);
        co_await exchange.respond(
            transport::binary_response(status::ok, std::move(page)));
    }
    else if (path == "/gateway/permits")
    {
        co_await exchange.respond(transport::binary_response(
            status::ok, this->permits.respond(exchange.request().body())));
    }
    else if (path == "/gateway/stream-origin")
    {
        std::vector<protocol::stream_origin> known;
        for (const protocol::stream_origin& wanted :
             protocol::decode_origin_notice(exchange.request().body()))
        {
            const std::optional<std::string> software =
                this->origins.known(wanted.attempt);
            if (software)
                known.push_back({wanted.attempt, *software});
        }
        co_await exchange.respond(transport::binary_response(
            status::ok, protocol::encode_origin_notice(known)));
    }
    else if (path == "/gateway/explain")
        co_await this->explain_request(exchange);
    else if (path == "/metrics")
        co_await exchange.respond(
            transport::text_response(status::ok, this->shared.counters.render()));
    else
        throw state::error(
            state::error_code::not_found, std::string(path),
            "expected /gateway/members, /gateway/config, /gateway/backends, "
            "/gateway/permits, /gateway/stream-origin, /gateway/explain or /metrics");
}

boost::asio::awaitable<void>
control_handler::explain_request(transport::http_exchange& exchange)
{
    if (exchange.request().method() != transport::verb::post)
        throw state::error(state::error_code::method_not_allowed, "/gateway/explain",
                           "expected POST");
    const explained_request query = read_explained_request(exchange.request().body());
    const boost::json::object answer =
        co_await explain(this->shared, this->dialect, this->client, query);
    co_await exchange.respond(
        transport::json_response(transport::status::ok, boost::json::serialize(answer)));
}

} // namespace pomelorouter::app
