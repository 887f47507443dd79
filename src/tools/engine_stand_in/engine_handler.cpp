#include "engine_handler.hpp"

#include "state/error.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <xxhash.h>

#include <string_view>

namespace pomelorouter::tools
{

namespace asio = boost::asio;
using state::error;
using state::error_code;
using transport::json_response;
using transport::status;
using transport::verb;

std::string token_text(const std::string& prompt, std::int64_t index)
{
    constexpr std::uint64_t vocabulary = 50000;
    const std::uint64_t hash = XXH3_64bits_withSeed(prompt.data(), prompt.size(),
                                                    static_cast<XXH64_hash_t>(index));
    return "t" + std::to_string(hash % vocabulary) + " ";
}

engine_handler::engine_handler(asio::io_context& event_loop,
                               const engine_options& settings)
    : loop(event_loop), options(settings)
{
    constexpr std::int64_t preloaded_bytes = 1LL << 30;
    this->inventory.engine = settings.id;
    this->inventory.incarnation = 1;
    this->inventory.capacity_bytes = settings.capacity_bytes;
    for (const std::string& model : settings.resident)
    {
        this->inventory.resident.push_back({model, "1", "", preloaded_bytes, true});
        this->inventory.used_bytes += preloaded_bytes;
    }
}

asio::awaitable<void> engine_handler::handle(transport::http_exchange& exchange)
{
    const transport::http_request& request = exchange.request();
    const std::string_view path = transport::target_path(request.target());
    if (path == "/v1/completions" && request.method() == verb::post)
    {
        co_await this->complete(exchange);
        co_return;
    }
    if (path == "/inventory")
    {
        co_await exchange.respond(
            json_response(status::ok, protocol::format_inventory(this->inventory)));
        co_return;
    }
    if (path == "/load")
    {
        state::load_report report;
        report.running = this->running;
        report.slots = this->options.slots;
        co_await exchange.respond(
            json_response(status::ok, protocol::format_load_report(report)));
        co_return;
    }
    throw error(error_code::not_found, std::string(path), "a path of an engine");
}

asio::awaitable<void> engine_handler::complete(transport::http_exchange& exchange)
{
    const protocol::engine_completion request =
        protocol::parse_engine_completion(exchange.request().body());
    bool is_resident = false;
    for (const state::resident_model& item : this->inventory.resident)
        is_resident = is_resident || (item.model == request.model && item.ready);
    if (!is_resident)
    {
        co_await exchange.respond(json_response(
            status::conflict, protocol::format_backend_error("model_not_resident")));
        co_return;
    }
    const std::string id(exchange.request()["X-Request-Id"]);
    transport::http_response head(status::ok, 11);
    head.set(transport::field::content_type, "text/event-stream");
    co_await exchange.begin_stream(std::move(head));
    ++this->running;
    asio::steady_timer timer(this->loop);
    for (std::int64_t index = request.resume_from; index < request.max_tokens; ++index)
    {
        timer.expires_after(this->options.token_time);
        co_await timer.async_wait(asio::use_awaitable);
        const protocol::engine_chunk chunk{
            id, index, token_text(request.prompt, index), {}};
        co_await exchange.write_piece(protocol::format_engine_chunk(chunk));
    }
    --this->running;
    const protocol::engine_chunk last{id, request.max_tokens, {}, "length"};
    co_await exchange.write_piece(protocol::format_engine_chunk(last) +
                                  "data: [DONE]\n\n");
    co_await exchange.end_stream();
}

} // namespace pomelorouter::tools
