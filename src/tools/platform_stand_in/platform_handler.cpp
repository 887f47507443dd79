#include "platform_handler.hpp"

#include "state/error.hpp"

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
using transport::json_response;
using transport::status;
using transport::verb;

namespace
{

constexpr std::string_view streams_prefix = "/streams/";
constexpr std::string_view records_suffix = "/records";
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
                    "expected a whole number from 0");
    }
    return number;
}

} // namespace

platform_handler::platform_handler(asio::io_context& event_loop,
                                   std::size_t retention_records)
    : loop(event_loop),
      state_store(retention_records),
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
        std::vector<state::instance> list;
        for (const auto& [id, item] : this->state_store.instances())
            list.push_back(item);
        co_await exchange.respond(
            json_response(status::ok, protocol::format_instances(list)));
        co_return;
    }
    if (path == "/control/instances" && request.method() == verb::post)
    {
        for (const state::instance& item : protocol::parse_instances(request.body()))
            this->state_store.set_instance(item);
        co_await exchange.respond(json_response(status::ok, "{}"));
        co_return;
    }
    throw error(error_code::not_found, std::string(path), "a path of the platform");
}

asio::awaitable<void> platform_handler::handle_stream(transport::http_exchange& exchange,
                                                      const std::string& stream)
{
    const transport::http_request& request = exchange.request();
    if (request.method() == verb::post)
    {
        if (request.body().size() > max_record_bytes)
        {
            throw error(error_code::too_large, "body",
                        "at most " + std::to_string(max_record_bytes) + " bytes");
        }
        const std::uint64_t offset = this->state_store.append(stream, request.body());
        this->appended.cancel();
        co_await exchange.respond(
            json_response(status::ok, protocol::format_append_response(offset)));
        co_return;
    }
    const std::uint64_t from = query_number(request.target(), "from", 0);
    const std::uint64_t limit = query_number(request.target(), "limit", 1000);
    const state::milliseconds wait(query_number(request.target(), "wait_ms", 0));
    co_await this->wait_for_record(stream, from, wait);
    const protocol::log_page_body page = this->state_store.read(
        stream, std::max(from, this->state_store.first(stream)), limit);
    const bool truncated = this->state_store.is_truncated(stream, from);
    co_await exchange.respond(json_response(truncated ? status::gone : status::ok,
                                            protocol::format_log_page(page)));
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
        // Wakes at the next append to any stream; the timer bounds the wait.
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
