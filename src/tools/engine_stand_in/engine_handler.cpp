#include "engine_handler.hpp"

#include "state/error.hpp"
#include "state/json_reader.hpp"
#include "token_text.hpp"
#include "transport/http_error.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace pomelorouter::tools
{

namespace asio = boost::asio;
using state::error;
using state::error_code;
using state::now;
using transport::json_response;
using transport::status;
using transport::verb;

namespace
{

constexpr std::int64_t default_model_bytes = 1LL << 30;
constexpr std::string_view requests_prefix = "/v1/requests/";
// Interval at which a waiting request checks that its caller is still connected.
constexpr state::milliseconds caller_check_period{10};
constexpr state::milliseconds weights_timeout{600000};

/// Parses a `--resident` value: `model[:adapter][@bytes]`.
state::resident_model parse_resident_option(const std::string& text)
{
    state::resident_model item;
    item.version = "1";
    item.bytes = default_model_bytes;
    item.ready = true;
    std::string name = text;
    if (const auto at = name.find('@'); at != std::string::npos)
    {
        const std::string_view number = std::string_view(text).substr(at + 1);
        const auto parsed =
            std::from_chars(number.data(), number.data() + number.size(), item.bytes);
        if (parsed.ec != std::errc() || parsed.ptr != number.data() + number.size())
        {
            throw error(error_code::invalid_argument, "--resident " + text,
                        "expected model[:adapter][@bytes]");
        }
        name.resize(at);
    }
    const std::size_t colon = name.find(':');
    item.model = name.substr(0, colon);
    if (colon != std::string::npos)
        item.adapter = name.substr(colon + 1);
    return item;
}

state::engine_inventory initial_inventory(const engine_options& options)
{
    state::engine_inventory inventory;
    inventory.engine = options.id;
    inventory.incarnation = options.incarnation;
    inventory.checks_fence = options.checks_fence;
    inventory.capacity_bytes = options.capacity_bytes;
    inventory.role = options.role;
    for (const std::string& text : options.resident)
        inventory.resident.push_back(parse_resident_option(text));
    return inventory;
}

std::uint64_t query_from(std::string_view target)
{
    const std::string_view text = transport::target_query(target, "from");
    std::uint64_t from = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), from);
    if (!text.empty() &&
        (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()))
        throw error(error_code::invalid_argument, "query from",
                    "expected a non-negative integer");
    return from;
}

std::string format_transfer(const engine_request& request)
{
    return boost::json::serialize(boost::json::object{{"request_id", request.id},
                                                      {"model", request.model},
                                                      {"prompt", request.prompt},
                                                      {"tokens", request.tokens}});
}

std::string format_weights_request(const protocol::engine_order& order)
{
    const std::string name = order.adapter.empty()
                                 ? "models/" + order.model + "/" + order.version
                                 : "adapters/" + order.model + "/" + order.adapter;
    return boost::json::serialize(
        boost::json::object{{"name", name}, {"bytes", order.bytes}});
}

/// Formats one chunk of the stream. `crossed` names the field that gets a wrong value:
/// `id`, `index` or none if it is empty.
std::string make_chunk(const engine_request& request, std::int64_t index,
                       const std::string& crossed)
{
    protocol::engine_chunk chunk;
    chunk.id = crossed == "id" ? "another-" + request.id : request.id;
    chunk.index = crossed == "index" ? index + 1 : index;
    // The text differs too, so that a caller that receives the chunk despite its wrong id
    // can detect it.
    const std::string prompt =
        crossed == "id" ? "another " + request.prompt : request.prompt;
    chunk.text = token_text(prompt, chunk.index);
    return protocol::format_engine_chunk(chunk);
}

std::string make_last_chunk(const engine_request& request, std::int64_t index)
{
    protocol::engine_chunk chunk;
    chunk.id = request.id;
    chunk.index = index;
    chunk.finish_reason = "length";
    return protocol::format_engine_chunk(chunk) + "data: [DONE]\n\n";
}

} // namespace

engine_handler::engine_handler(asio::io_context& event_loop,
                               const engine_options& settings)
    : loop(event_loop),
      options(settings),
      memory(initial_inventory(settings)),
      slots(settings.slots, settings.max_queue),
      prefixes(settings.prefix_blocks, settings.event_gap, settings.event_lag),
      client(event_loop.get_executor())
{
}

asio::awaitable<void> engine_handler::handle(transport::http_exchange& exchange)
{
    const transport::http_request& request = exchange.request();
    const std::string path(transport::target_path(request.target()));
    if (path == "/v1/completions" && request.method() == verb::post)
    {
        co_await this->complete(exchange);
        co_return;
    }
    if (path.starts_with(requests_prefix) && request.method() == verb::delete_)
    {
        co_await this->cancel(exchange, path.substr(requests_prefix.size()));
        co_return;
    }
    if (path == "/orders" && request.method() == verb::post)
    {
        co_await this->accept_order(exchange);
        co_return;
    }
    if ((path == "/kv/export" || path == "/kv/import") && request.method() == verb::post)
    {
        co_await this->transfer_cache(exchange, path == "/kv/import");
        co_return;
    }
    std::string body;
    if (path == "/inventory")
        body = protocol::format_inventory(this->memory.inventory());
    else if (path == "/load")
        body = protocol::format_load_report(this->delayed_load_report());
    else if (path == "/cache_events")
        body = this->prefixes.events_from(query_from(request.target()), now());
    else
        throw error(error_code::not_found, path, "the engine does not serve this path");
    co_await exchange.respond(json_response(status::ok, std::move(body)));
}

std::string engine_handler::refusal_reason(const protocol::engine_completion& body)
{
    if (this->faults.leaving == leaving_mode::refuse)
        return "leaving";
    if (this->faults.refuse)
        return "queue_full";
    if (!this->memory.is_ready(body.model, body.version, body.adapter))
        return "model_not_resident";
    return {};
}

asio::awaitable<void> engine_handler::complete(transport::http_exchange& exchange)
{
    const protocol::engine_completion body =
        protocol::parse_engine_completion(exchange.request().body());
    ++this->completions_received;
    this->arrivals_after_leaving.record_arrival(this->faults);
    const std::string refusal = this->refusal_reason(body);
    if (!refusal.empty())
    {
        co_await this->refuse(exchange,
                              refusal == "model_not_resident"
                                  ? status::conflict
                                  : status::service_unavailable,
                              refusal);
        co_return;
    }
    engine_request request(this->loop);
    request.id = std::string(exchange.request()["X-Request-Id"]);
    request.model = body.model;
    request.prompt = body.prompt;
    request.priority = body.priority;
    if (!this->slots.admit(request))
    {
        co_await this->refuse(exchange, status::service_unavailable, "queue_full");
        co_return;
    }
    this->requests[request.id] = &request;
    try
    {
        co_await this->generate(exchange, request, body);
    }
    catch (...)
    {
        this->finish_request(request);
        throw;
    }
    this->finish_request(request);
}

void engine_handler::finish_request(engine_request& request)
{
    if (request.running)
        this->memory.add_cache(-this->options.cache_bytes);
    this->slots.release(request);
    const auto found = this->requests.find(request.id);
    if (found != this->requests.end() && found->second == &request)
        this->requests.erase(found);
}

asio::awaitable<void> engine_handler::generate(transport::http_exchange& exchange,
                                               engine_request& request,
                                               const protocol::engine_completion& body)
{
    const std::string crossed = this->faults.consume_crossed();
    if (!co_await this->wait_for_slot(exchange, request) ||
        !co_await this->process_prompt(exchange, request))
        co_return;
    transport::http_response head(status::ok, 11);
    head.set(transport::field::content_type, "text/event-stream");
    co_await exchange.begin_stream(std::move(head));
    for (std::int64_t index = body.resume_from; index < body.max_tokens; ++index)
    {
        if (!co_await this->pause(exchange, request, this->options.token_time))
            co_return;
        ++this->tokens_generated;
        ++request.tokens;
        co_await exchange.write_piece(make_chunk(request, index, crossed));
    }
    co_await exchange.write_piece(make_last_chunk(request, body.max_tokens));
    co_await exchange.end_stream();
}

asio::awaitable<bool> engine_handler::wait_for_slot(transport::http_exchange& exchange,
                                                    engine_request& request)
{
    while (!request.running)
    {
        request.wake_timer.expires_after(caller_check_period);
        boost::system::error_code ignored;
        co_await request.wake_timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
        if (!request.running && (request.cancelled || exchange.client_has_closed()))
            co_return false;
    }
    this->memory.add_cache(this->options.cache_bytes);
    co_return true;
}

asio::awaitable<bool> engine_handler::process_prompt(transport::http_exchange& exchange,
                                                     engine_request& request)
{
    const prefix_cache::match match = this->prefixes.find(request.model, request.prompt);
    const auto duration =
        this->options.block_time * static_cast<std::int64_t>(match.blocks - match.cached);
    const bool alive = co_await this->pause(exchange, request, duration);
    if (alive)
        this->prefixes.store(request.model, request.prompt, now());
    co_return alive;
}

asio::awaitable<bool> engine_handler::pause(transport::http_exchange& exchange,
                                            engine_request& request,
                                            state::microseconds duration)
{
    const state::time_point end = now() + this->apply_slowdown(duration);
    while (!request.cancelled && now() < end)
    {
        request.wake_timer.expires_at(std::min(end, now() + caller_check_period));
        boost::system::error_code ignored;
        co_await request.wake_timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
        if (exchange.client_has_closed())
            request.cancelled = true;
    }
    if (request.cancelled)
        ++this->cancelled;
    co_return !request.cancelled;
}

asio::awaitable<void> engine_handler::cancel(transport::http_exchange& exchange,
                                             std::string id)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        throw error(error_code::not_found, id, "the engine has no request with this id");
    found->second->cancelled = true;
    found->second->wake_timer.cancel();
    co_await exchange.respond(json_response(status::ok, "{}"));
}

asio::awaitable<void> engine_handler::accept_order(transport::http_exchange& exchange)
{
    const protocol::engine_order order =
        protocol::parse_engine_order(exchange.request().body());
    const auto result = this->memory.accept_order(order);
    if (result == engine_memory::order_result::stale)
    {
        co_await this->refuse(exchange, status::conflict, "stale_fence");
        co_return;
    }
    if (result == engine_memory::order_result::started)
        asio::co_spawn(this->loop, this->execute_order(order), asio::detached);
    co_await exchange.respond(json_response(status::accepted, "{}"));
}

asio::awaitable<void> engine_handler::execute_order(protocol::engine_order order)
{
    const bool is_load = order.step == protocol::order_step::load;
    bool succeeded = true;
    if (is_load && !this->options.platform.empty())
    {
        succeeded = co_await this->fetch_weights(order);
    }
    else
    {
        asio::steady_timer timer(
            this->loop, this->apply_slowdown(is_load ? this->options.load_time
                                                     : this->options.unload_time));
        co_await timer.async_wait(asio::use_awaitable);
    }
    this->memory.finish(order, succeeded);
}

asio::awaitable<bool> engine_handler::fetch_weights(const protocol::engine_order& order)
{
    transport::http_call_options call_options;
    call_options.progress_timeout = weights_timeout;
    try
    {
        const auto response = co_await this->client.fetch(
            this->options.platform,
            transport::make_request(verb::post, "/weights/fetch",
                                    format_weights_request(order)),
            call_options);
        co_return response.result() == status::ok;
    }
    catch (const transport::http_error&)
    {
        co_return false;
    }
}

asio::awaitable<void> engine_handler::transfer_cache(transport::http_exchange& exchange,
                                                     bool import)
{
    const auto value = state::parse_json(exchange.request().body(), "body");
    state::json_reader reader(value, "body");
    const std::string id = reader.get_string("request_id");
    if (import)
    {
        this->prefixes.store(reader.get_string("model"), reader.get_string("prompt"),
                             now());
        co_await exchange.respond(json_response(status::ok, "{}"));
        co_return;
    }
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        throw error(error_code::not_found, id, "the engine has no request with this id");
    const std::string body = format_transfer(*found->second);
    co_await exchange.respond(json_response(status::ok, body));
}

asio::awaitable<void> engine_handler::refuse(transport::http_exchange& exchange,
                                             transport::status code, std::string type)
{
    ++this->refusals[type];
    co_await exchange.respond(json_response(code, protocol::format_backend_error(type)));
}

state::load_report engine_handler::delayed_load_report()
{
    const state::time_point current = now();
    this->samples.push_back(
        {current, this->slots.running(), this->slots.queued(), this->tokens_generated});
    while (this->samples.size() > 1 &&
           this->samples[1].at + this->options.report_lag <= current)
        this->samples.pop_front();
    const load_sample& shown = this->samples.front();
    state::load_report report;
    report.age_ms =
        std::chrono::duration_cast<state::milliseconds>(current - shown.at).count();
    report.running = shown.running;
    report.queued = shown.queued;
    report.slots = this->slots.slots();
    const double token_s =
        std::chrono::duration<double>(this->options.token_time).count();
    report.tokens_per_s = static_cast<double>(shown.running) / std::max(token_s, 1e-6);
    return report;
}

void engine_handler::add_stats(boost::json::object& stats) const
{
    stats["completions_received"] = this->completions_received;
    stats["tokens_made"] = this->tokens_generated;
    stats["cancelled"] = this->cancelled;
    stats["running"] = this->slots.running();
    stats["queued"] = this->slots.queued();
    boost::json::object refused;
    for (const auto& [type, count] : this->refusals)
        refused[type] = count;
    stats["refusals"] = std::move(refused);
    this->memory.add_stats(stats);
    this->arrivals_after_leaving.add_stats(stats);
}

} // namespace pomelorouter::tools
