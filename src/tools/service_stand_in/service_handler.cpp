#include "service_handler.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace pomelorouter::tools
{

using transport::json_response;
using transport::status;
using transport::verb;

boost::asio::awaitable<void> service_handler::handle(transport::http_exchange& exchange)
{
    const transport::http_request& request = exchange.request();
    const std::string_view path = transport::target_path(request.target());
    if (path == "/control/runs")
    {
        boost::json::object counts;
        for (const auto& [key, count] : this->runs)
            counts[key] = count;
        co_await exchange.respond(
            json_response(status::ok, boost::json::serialize(counts)));
        co_return;
    }
    const std::string key(request["Idempotency-Key"]);
    if (request.method() != verb::get)
        ++this->runs[key];
    boost::json::object body;
    body["path"] = path;
    body["key"] = key;
    body["runs"] = this->runs[key];
    co_await exchange.respond(json_response(status::ok, boost::json::serialize(body)));
}

} // namespace pomelorouter::tools
