#include "platform_handler.hpp"

#include "protocol/engine_api.hpp"
#include "state/error.hpp"
#include "state/json_reader.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>

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

constexpr std::string_view streams_prefix = "/streams/";
constexpr std::string_view records_suffix = "/records";
constexpr std::string_view control_instances = "/control/instances";
constexpr std::size_t max_record_bytes = 1024 * 1024;

std::uint64_t query_number(std::string_view target, std::string_view name,
                           std::uint64_t fallback)
{
    const std::string_view text = transport::target_query(target, name);
    if (text.empty())
        return fallback;
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
    {
        throw error(error_code::invalid_argument, "query " + std::string(name),
                    "expected a non-negative integer");
    }
    return number;
}

std::string read_weights_name(const std::string& body)
{
    const auto value = state::parse_json(body, "body");
    state::json_reader reader(value, "body");
    std::string name = reader.get_string("name");
    reader.get_uint64("bytes");
    reader.finish();
    return name;
}

} // namespace

platform_handler::platform_handler(asio::io_context& event_loop,
                                   const platform_limits& limits,
                                   const weight_store_options& weight_options)
    : loop(event_loop),
      state_store(limits),
      weights(weight_options),
      appended(event_loop, state::time_point::max())
{
}

asio::awaitable<void> platform_handler::handle(transport::http_exchange& exchange)
{
    const transport::http_request& request = exchange.request();
    const std::string_view path = transport::target_path(request.target());
    if (path.starts_with(streams_prefix) && path.ends_with(records_suffix))
    {
        std::string_view name = path.substr(streams_prefix.size());
        name.remove_suffix(records_suffix.size());
        co_await this->handle_stream(exchange, std::string(name));
        co_return;
    }
    if (path == "/instances" && request.method() == verb::get)
    {
        const auto list = this->state_store.visible_instances(now());
        co_await exchange.respond(
            json_response(status::ok, protocol::format_instances(list)));
        co_return;
    }
    if (path.starts_with(control_instances))
    {
        co_await this->change_instances(exchange, std::string(path));
        co_return;
    }
    if (path == "/weights/fetch" && request.method() == verb::post)
    {
        co_await this->fetch_weights(exchange);
        co_return;
    }
    throw error(error_code::not_found, std::string(path),
                "the platform does not serve this path");
}

asio::awaitable<void> platform_handler::handle_stream(transport::http_exchange& exchange,
                                                      const std::string& stream)
{
    const transport::http_request& request = exchange.request();
    if (request.method() == verb::post)
    {
        co_await this->append(exchange, stream);
        co_return;
    }
    const std::uint64_t from = query_number(request.target(), "from", 0);
    const std::uint64_t limit = query_number(request.target(), "limit", 1000);
    const state::milliseconds wait(query_number(request.target(), "wait_ms", 0));
    co_await this->wait_for_record(stream, from, wait);
    this->state_store.expire(now());
    const protocol::log_page_body page = this->state_store.read(
        stream, std::max(from, this->state_store.first(stream)), limit);
    const bool truncated = this->state_store.is_truncated(stream, from);
    co_await exchange.respond(json_response(truncated ? status::gone : status::ok,
                                            protocol::format_log_page(page)));
}

asio::awaitable<void> platform_handler::append(transport::http_exchange& exchange,
                                               const std::string& stream)
{
    const std::string& record = exchange.request().body();
    if (record.size() > max_record_bytes)
    {
        throw error(error_code::too_large, "body",
                    "record exceeds the limit of " + std::to_string(max_record_bytes) +
                        " bytes");
    }
    if (!this->state_store.admit_append(now()))
    {
        ++this->refused_appends;
        co_await exchange.respond(
            json_response(status::too_many_requests,
                          protocol::format_backend_error("too_many_appends")));
        co_return;
    }
    const std::uint64_t offset = this->state_store.append(stream, record, now());
    this->appended.cancel();
    co_await exchange.respond(
        json_response(status::ok, protocol::format_append_response(offset)));
}

asio::awaitable<void>
platform_handler::change_instances(transport::http_exchange& exchange, std::string path)
{
    const verb method = exchange.request().method();
    if (method == verb::post && path == control_instances)
    {
        for (const auto& item : protocol::parse_instances(exchange.request().body()))
            this->state_store.set_instance(item, now());
    }
    else if (method == verb::delete_ && path.size() > control_instances.size() + 1)
    {
        this->state_store.remove_instance(path.substr(control_instances.size() + 1),
                                          now());
    }
    else
    {
        throw error(error_code::method_not_allowed, path,
                    "expected POST /control/instances or DELETE /control/instances/{id}");
    }
    co_await exchange.respond(json_response(status::ok, "{}"));
}

asio::awaitable<void> platform_handler::fetch_weights(transport::http_exchange& exchange)
{
    const bool adapter = is_adapter_name(read_weights_name(exchange.request().body()));
    asio::steady_timer timer(
        this->loop, this->apply_slowdown(this->weights.begin_load(adapter, now())));
    co_await timer.async_wait(asio::use_awaitable);
    this->weights.end_load(adapter);
    co_await exchange.respond(json_response(status::ok, "{}"));
}

void platform_handler::add_stats(boost::json::object& stats) const
{
    boost::json::object streams;
    for (const auto& [name, stream] : this->state_store.all_streams())
        streams[name] = stream.next();
    stats["streams"] = std::move(streams);
    stats["refused_appends"] = this->refused_appends;
    stats["loads"] = this->weights.loads();
    stats["most_loads_in_flight"] = this->weights.max_in_flight();
    stats["adapter_loads"] = this->weights.adapter_loads();
    stats["most_adapters_in_flight"] = this->weights.max_adapters_in_flight();
}

asio::awaitable<void> platform_handler::wait_for_record(const std::string& stream,
                                                        std::uint64_t from,
                                                        state::milliseconds wait)
{
    const auto deadline = std::chrono::steady_clock::now() + wait;
    asio::steady_timer limit(this->loop, deadline);
    while (this->state_store.next(stream) <= from &&
           std::chrono::steady_clock::now() < deadline)
    {
        // An append to any stream ends the wait; the timer bounds it.
        limit.expires_at(deadline);
        limit.async_wait(
            [this](boost::system::error_code failure)
            {
                if (!failure)
                    this->appended.cancel();
            });
        boost::system::error_code ignored;
        co_await this->appended.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

} // namespace pomelorouter::tools
