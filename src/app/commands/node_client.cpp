#include "app/commands/node_client.hpp"

#include "state/clock.hpp"
#include "state/json_reader.hpp"
#include "transport/http_client.hpp"
#include "transport/http_error.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using state::error;
using state::error_code;
using transport::http_response;

namespace
{

constexpr state::milliseconds connect_timeout{1000};
// A node answers a settings change within 10 s, with its verdict or with the report that
// there is none yet.
constexpr state::milliseconds answer_timeout{15000};
constexpr std::size_t max_response_bytes = 64 * 1024 * 1024;

struct fetch_result
{
    http_response response;
    std::exception_ptr failure;
};

http_response fetch(const std::string& address, const transport::http_request& request)
{
    asio::io_context loop(1);
    transport::http_client client(loop.get_executor());
    transport::http_call_options options;
    options.connect_timeout = connect_timeout;
    options.progress_timeout = answer_timeout;
    options.fresh_connection = true;
    options.max_body_bytes = max_response_bytes;
    fetch_result result;
    asio::co_spawn(loop, client.fetch(address, request, options),
                   [&result](std::exception_ptr failure, http_response response)
                   {
                       result.failure = std::move(failure);
                       result.response = std::move(response);
                   });
    loop.run();
    if (result.failure)
        std::rethrow_exception(result.failure);
    return std::move(result.response);
}

} // namespace

nodes_unreachable::nodes_unreachable(const std::string& place, const std::string& reason,
                                     bool request_may_have_been_sent)
    : error(error_code::connect_failed, place, reason),
      may_have_been_sent(request_may_have_been_sent)
{
}

node_client::node_client(std::vector<std::string> node_addresses,
                         std::string address_option)
    : addresses(std::move(node_addresses)), option(std::move(address_option))
{
}

http_response node_client::get(const std::string& target)
{
    std::string reasons;
    for (const std::string& address : this->addresses)
    {
        try
        {
            return fetch(address, transport::make_request(transport::verb::get, target));
        }
        catch (const transport::http_error& failure)
        {
            reasons += std::string(reasons.empty() ? "" : "; ") + failure.what();
        }
    }
    throw nodes_unreachable(this->option, reasons, false);
}

http_response node_client::post(const std::string& target, const std::string& body)
{
    std::string reasons;
    for (const std::string& address : this->addresses)
    {
        try
        {
            return fetch(address,
                         transport::make_request(transport::verb::post, target, body));
        }
        catch (const transport::http_error& failure)
        {
            if (failure.request_may_have_been_sent())
                throw nodes_unreachable(address, failure.what(), true);
            reasons += std::string(reasons.empty() ? "" : "; ") + failure.what();
        }
    }
    throw nodes_unreachable(this->option, reasons, false);
}

boost::json::value read_answer(const http_response& response, const std::string& place)
{
    constexpr std::size_t max_answer_bytes = 64 * 1024 * 1024;
    boost::json::value value =
        state::parse_json(response.body(), place, {max_answer_bytes, 64});
    if (response.result() == transport::status::ok)
        return value;
    const auto* object = value.if_object();
    const auto* refused = object == nullptr ? nullptr : object->if_contains("error");
    if (refused == nullptr)
        throw error(error_code::wrong_answer, place,
                    "unexpected HTTP status " + std::to_string(response.result_int()));
    state::json_reader reader(*refused, place, "/error");
    throw error(error_code::refused_by_backend, place, reader.get_string("message"));
}

} // namespace pomelorouter::app
