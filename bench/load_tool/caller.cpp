#include "caller.hpp"

#include "protocol/engine_api.hpp"
#include "protocol/sse_parser.hpp"
#include "state/error.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace pomelorouter::bench
{

namespace asio = boost::asio;

namespace
{

constexpr state::milliseconds response_timeout{60000};
constexpr std::string_view done_event = "[DONE]";

std::int64_t microseconds_since(state::time_point begin)
{
    return std::chrono::duration_cast<state::microseconds>(
               std::chrono::steady_clock::now() - begin)
        .count();
}

std::string completion_body(const planned_request& request)
{
    boost::json::object body;
    body["model"] = request.model;
    body["prompt"] = request.prompt;
    body["max_tokens"] = request.max_tokens;
    body["stream"] = true;
    return boost::json::serialize(body);
}

std::string engine_body(const planned_request& request)
{
    protocol::engine_completion body;
    body.model = request.model;
    body.version = "1";
    body.prompt = request.prompt;
    body.max_tokens = request.max_tokens;
    return protocol::format_engine_completion(body);
}

} // namespace

caller::caller(std::vector<std::string> target_addresses,
               state::milliseconds request_deadline, bool direct_to_engines)
    : client(this->loop.get_executor()),
      addresses(std::move(target_addresses)),
      deadline(request_deadline),
      direct(direct_to_engines)
{
}

std::vector<request_result> caller::run(const std::vector<planned_request>& plan)
{
    std::vector<request_result> results(plan.size());
    this->start = std::chrono::steady_clock::now();
    asio::co_spawn(this->loop, this->send_all(plan, results), asio::detached);
    this->loop.run();
    this->loop.restart();
    return results;
}

asio::awaitable<void> caller::send_all(const std::vector<planned_request>& plan,
                                       std::vector<request_result>& results)
{
    asio::steady_timer timer(this->loop);
    for (std::size_t index = 0; index < plan.size(); ++index)
    {
        timer.expires_at(this->start + plan[index].at);
        co_await timer.async_wait(asio::use_awaitable);
        const std::string& address =
            this->addresses[this->sent++ % this->addresses.size()];
        asio::co_spawn(this->loop, this->send_one(plan[index], address, results[index]),
                       asio::detached);
    }
}

asio::awaitable<void> caller::send_one(const planned_request& request,
                                       std::string address, request_result& result)
{
    const state::time_point planned = this->start + request.at;
    result.is_long = request.is_long;
    result.is_peak = request.is_peak;
    transport::http_call_options options;
    options.progress_timeout = response_timeout;
    options.max_body_bytes = 64 * 1024 * 1024;
    try
    {
        const transport::http_request http = this->make_request(request);
        const auto call = co_await this->client.open(address, http, options);
        if (call->head().result() == transport::status::ok)
        {
            co_await this->read_stream(*call, planned, result);
        }
        else
        {
            co_await call->read_all();
            result.outcome = request_outcome::refused;
        }
    }
    catch (const state::error&)
    {
        result.outcome = request_outcome::failed;
    }
    result.total_us = microseconds_since(planned);
    const bool too_late = result.total_us > this->deadline.count() * 1000;
    if (result.outcome == request_outcome::in_time && too_late)
        result.outcome = request_outcome::late;
}

transport::http_request caller::make_request(const planned_request& request)
{
    transport::http_request http = transport::make_request(
        transport::verb::post, "/v1/completions",
        this->direct ? engine_body(request) : completion_body(request));
    http.set("X-Deadline-Ms", std::to_string(this->deadline.count()));
    http.set("X-Request-Id", std::to_string(this->sent));
    return http;
}

asio::awaitable<void> caller::read_stream(transport::http_call& call,
                                          state::time_point planned,
                                          request_result& result)
{
    protocol::sse_parser parser;
    state::time_point last = planned;
    bool is_done = false;
    bool has_error = false;
    while (auto chunk = co_await call.read_some())
    {
        parser.feed(*chunk);
        while (auto event = parser.next())
        {
            is_done = is_done || *event == done_event;
            has_error = has_error || event->find("\"error\"") != std::string::npos;
            if (is_done || has_error || event->find("\"text\"") == std::string::npos)
                continue;
            const std::int64_t gap_us = microseconds_since(last);
            last = std::chrono::steady_clock::now();
            if (result.tokens == 0)
                result.first_token_us = microseconds_since(planned);
            else
                result.largest_gap_us = std::max(result.largest_gap_us, gap_us);
            ++result.tokens;
        }
    }
    result.outcome =
        is_done && !has_error ? request_outcome::in_time : request_outcome::failed;
}

} // namespace pomelorouter::bench
