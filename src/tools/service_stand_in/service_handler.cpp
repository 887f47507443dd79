#include "service_handler.hpp"

#include "protocol/engine_api.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>

namespace pomelorouter::tools
{

namespace asio = boost::asio;
using transport::json_response;
using transport::status;
using transport::verb;

namespace
{

// Built here because GCC 12 mishandles JSON initializers in coroutines.
std::string format_result(const std::string& path, const std::string& key,
                          std::int64_t runs)
{
    return boost::json::serialize(
        boost::json::object{{"path", path}, {"key", key}, {"runs", runs}});
}

} // namespace

service_handler::service_handler(asio::io_context& event_loop,
                                 state::milliseconds duration)
    : loop(event_loop), request_duration(duration)
{
}

asio::awaitable<void> service_handler::handle(transport::http_exchange& exchange)
{
    const std::string_view path = transport::target_path(exchange.request().target());
    if (path == "/control/runs")
    {
        co_await exchange.respond(
            json_response(status::ok, boost::json::serialize(this->run_counts())));
        co_return;
    }
    this->arrivals_after_leaving.record_arrival(this->faults);
    const bool is_leaving = this->faults.leaving == leaving_mode::refuse;
    if (is_leaving || this->faults.refuse)
    {
        ++this->refused;
        co_await exchange.respond(json_response(
            status::service_unavailable,
            protocol::format_backend_error(is_leaving ? "leaving" : "refused")));
        co_return;
    }
    co_await this->run(exchange);
}

asio::awaitable<void> service_handler::run(transport::http_exchange& exchange)
{
    const transport::http_request& request = exchange.request();
    const std::string key(request["Idempotency-Key"]);
    const std::string path(transport::target_path(request.target()));
    // Counted before the delay, because an order that has started cannot be undone.
    if (request.method() != verb::get)
        ++this->runs[key];
    asio::steady_timer timer(this->loop, this->apply_slowdown(this->request_duration));
    co_await timer.async_wait(asio::use_awaitable);
    const auto found = this->runs.find(key);
    const std::int64_t count = found == this->runs.end() ? 0 : found->second;
    co_await exchange.respond(json_response(status::ok, format_result(path, key, count)));
}

boost::json::object service_handler::run_counts() const
{
    boost::json::object counts;
    for (const auto& [key, count] : this->runs)
        counts[key] = count;
    return counts;
}

void service_handler::add_stats(boost::json::object& stats) const
{
    stats["runs"] = this->run_counts();
    stats["refused"] = this->refused;
    this->arrivals_after_leaving.add_stats(stats);
}

} // namespace pomelorouter::tools
