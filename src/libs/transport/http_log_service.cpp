#include "transport/http_log_service.hpp"

#include "protocol/platform_api.hpp"
#include "state/json_reader.hpp"
#include "transport/http_error.hpp"

#include <utility>

namespace pomelorouter::transport
{

namespace asio = boost::asio;
using state::error;
using state::error_code;

namespace
{

constexpr state::milliseconds append_timeout{3000};
constexpr state::milliseconds read_timeout_margin{2000};
constexpr std::size_t max_page_records = 1000;
constexpr std::size_t max_page_bytes = 64 * 1024 * 1024;

std::string stream_target(const std::string& stream)
{
    return "/streams/" + stream + "/records";
}

} // namespace

log_truncated::log_truncated(const std::string& stream, std::uint64_t first)
    : error(error_code::log_truncated, stream,
            "the records were removed; the oldest offset is " + std::to_string(first)),
      first_offset(first)
{
}

http_log_service::http_log_service(http_client& http, std::string log_address)
    : client(http), address(std::move(log_address))
{
}

asio::awaitable<std::uint64_t> http_log_service::append(std::string stream,
                                                        std::string data)
{
    http_call_options options;
    options.progress_timeout = append_timeout;
    http_response response;
    try
    {
        response = co_await this->client.fetch(
            this->address,
            make_request(verb::post, stream_target(stream), std::move(data)), options);
    }
    catch (const http_error& failure)
    {
        this->client.close_idle_connections(this->address);
        if (!failure.request_may_have_been_sent())
            throw;
        throw error(error_code::log_unavailable, this->address, failure.what());
    }
    if (response.result() == status::too_many_requests)
        throw error(error_code::rate_limited, this->address,
                    "too many appends per second");
    if (response.result() != status::ok)
    {
        throw error(error_code::log_unavailable, this->address,
                    "append failed with HTTP status " +
                        std::to_string(response.result_int()));
    }
    co_return protocol::parse_append_response(response.body());
}

asio::awaitable<log_page> http_log_service::read(std::string stream, std::uint64_t from,
                                                 state::milliseconds wait)
{
    http_call_options options;
    options.progress_timeout = wait + read_timeout_margin;
    options.max_body_bytes = max_page_bytes;
    const std::string target = stream_target(stream) + "?from=" + std::to_string(from) +
                               "&limit=" + std::to_string(max_page_records) +
                               "&wait_ms=" + std::to_string(wait.count());
    http_response response;
    try
    {
        response = co_await this->client.fetch(this->address,
                                               make_request(verb::get, target), options);
    }
    catch (const http_error& failure)
    {
        this->client.close_idle_connections(this->address);
        throw error(error_code::log_unavailable, this->address, failure.what());
    }
    if (response.result() == status::gone)
        throw log_truncated(stream, protocol::parse_first_offset(response.body()));
    if (response.result() != status::ok)
    {
        throw error(error_code::log_unavailable, this->address,
                    "read failed with HTTP status " +
                        std::to_string(response.result_int()));
    }
    const protocol::log_page_body body = protocol::parse_log_page(response.body());
    log_page page;
    page.first = body.first;
    page.next = body.next;
    for (const auto& record : body.records)
        page.records.push_back({record.offset, record.data});
    co_return page;
}

} // namespace pomelorouter::transport
