#include "transport/http_client.hpp"

#include "transport/address.hpp"
#include "transport/delivery_watch.hpp"
#include "transport/http_connection.hpp"
#include "transport/http_error.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace pomelorouter::transport
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using state::error_code;

namespace
{

constexpr std::size_t read_chunk_bytes = 16 * 1024;
constexpr std::size_t max_head_bytes = 16 * 1024;
/// Limits of the interim responses and responses to other requests that a call skips
/// before its own response: their number and the total size of their bodies.
constexpr int max_skipped_responses = 8;
constexpr std::size_t max_skipped_bytes = 256 * 1024;
constexpr std::size_t max_idle_per_address = 256;
/// An idle connection is reused only up to this long before the server's announced idle
/// timeout, since the server may be closing it after that.
constexpr state::milliseconds idle_timeout_margin{700};
constexpr int ms_per_s = 1000;

/// Parses `timeout=N` of a Keep-Alive header field; N is in whole seconds.
state::milliseconds parse_idle_timeout(std::string_view value)
{
    constexpr std::string_view name = "timeout=";
    const std::size_t position = value.find(name);
    if (position == std::string_view::npos)
        return internal::default_idle_timeout;
    int seconds = 0;
    const char* const begin = value.data() + position + name.size();
    const auto parsed = std::from_chars(begin, value.data() + value.size(), seconds);
    if (parsed.ec != std::errc() || seconds < 0)
        return internal::default_idle_timeout;
    return state::milliseconds(seconds * ms_per_s);
}

/// Throws `http_error` if `status` is none that a server may send: one outside of the
/// classes of RFC 9110, or a change of protocols that no request asks for. The parser
/// takes any three digits, and a response below 200 would count as an interim one.
void check_status(unsigned status, const std::string& address)
{
    constexpr unsigned min_status = 100;
    constexpr unsigned max_status = 599;
    constexpr unsigned switching_protocols = 101;
    if (status >= min_status && status <= max_status && status != switching_protocols)
        return;
    throw http_error(error_code::malformed_frame, address,
                     "the response has the invalid status " + std::to_string(status),
                     true);
}

/// Throws `http_error` if the end of the stream completes a response although the server
/// did not end it.
void check_end(internal::http_connection& link)
{
    if (!link.parser->is_done() || !link.parser->need_eof() || link.was_ended_by_server())
        return;
    std::string problem = "the connection was lost before the end of the response";
    if (link.write_failure)
        problem += ": " + link.write_failure.message();
    throw http_error(error_code::connection_lost, link.address, problem, true);
}

} // namespace

http_call::http_call(http_client& owner,
                     std::shared_ptr<internal::http_connection> call_connection,
                     const http_call_options& call_options)
    : client(owner), connection(std::move(call_connection)), options(call_options)
{
}

http_call::~http_call()
{
    // A pending write shares ownership of the connection and would keep it open.
    this->abort();
}

const http_response& http_call::head() const
{
    return this->response_head;
}

void http_call::abort()
{
    if (this->connection)
        this->connection->close();
}

asio::awaitable<void> http_call::send(std::shared_ptr<const http_request> request,
                                      const response_filter* filter)
{
    this->begin_write(*request, request);
    co_await this->read_response(request->method() == verb::head, filter);
}

asio::awaitable<void> http_call::send(std::shared_ptr<const forwarded_request> request,
                                      const response_filter* filter)
{
    this->begin_write(request->message, request);
    co_await this->read_response(request->message.method() == verb::head, filter);
}

template <typename Message>
void http_call::begin_write(const Message& message, std::shared_ptr<const void> owner)
{
    internal::http_connection& link = *this->connection;
    link.begin_request();
    this->client.deliveries->add(this->connection);
    link.stream.expires_after(this->options.progress_timeout);
    // The write has no timeout of its own, since a server that answers early may read the
    // rest of the request late.
    beast::http::async_write(link.stream.socket(), message,
                             [kept = std::move(owner), written = this->connection](
                                 boost::system::error_code failure, std::size_t)
                             {
                                 written->write_done = true;
                                 written->write_failure = failure;
                             });
}

/// The response to HEAD announces the length of a body that does not follow.
asio::awaitable<void> http_call::read_response(bool is_head_request,
                                               const response_filter* filter)
{
    const internal::http_connection& link = *this->connection;
    co_await this->read_head(is_head_request);
    int skipped = 0;
    std::size_t skipped_bytes = 0;
    while (this->response_head.result_int() < 200 ||
           (filter != nullptr && !filter->is_answer(this->response_head, this->reused)))
    {
        if (++skipped > max_skipped_responses)
        {
            throw http_error(error_code::malformed_frame, link.address,
                             "more than " + std::to_string(max_skipped_responses) +
                                 " responses before the one to this request",
                             true);
        }
        co_await this->skip_body(skipped_bytes);
        co_await this->read_head(is_head_request);
    }
}

asio::awaitable<void> http_call::read_head(bool is_head_request)
{
    internal::http_connection& link = *this->connection;
    link.parser.emplace();
    link.parser->header_limit(max_head_bytes);
    link.parser->body_limit(this->options.max_body_bytes);
    link.parser->skip(is_head_request);
    boost::system::error_code failure;
    co_await beast::http::async_read_header(
        link.stream, link.buffer, *link.parser,
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        throw link.make_error(failure);
    check_status(link.parser->get().result_int(), link.address);
    this->response_head.base() = link.parser->get().base();
}

asio::awaitable<void> http_call::skip_body(std::size_t& skipped_bytes)
{
    const std::shared_ptr<internal::http_connection> link = this->connection;
    std::string chunk(read_chunk_bytes, '\0');
    while (!link->parser->is_done())
    {
        auto& body = link->parser->get().body();
        body.data = chunk.data();
        body.size = chunk.size();
        body.more = true;
        boost::system::error_code failure;
        co_await beast::http::async_read_some(
            link->stream, link->buffer, *link->parser,
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure && failure != beast::http::error::need_buffer)
            throw link->make_error(failure);
        check_end(*link);
        skipped_bytes += chunk.size() - body.size;
        if (skipped_bytes > max_skipped_bytes)
        {
            throw http_error(error_code::too_large, link->address,
                             "more than " + std::to_string(max_skipped_bytes) +
                                 " bytes of responses to other requests",
                             true);
        }
    }
    if (!link->parser->get().keep_alive())
    {
        throw http_error(
            error_code::connection_lost, link->address,
            "the server closed the connection after the response to another request",
            true);
    }
}

void http_call::finish()
{
    internal::http_connection& link = *this->connection;
    // A connection is not reused if bytes follow the response, since they belong to no
    // request, or if the request is not fully written, since the server would take the
    // rest of it for the next request.
    const bool can_reuse = this->reusable && link.parser->get().keep_alive() &&
                           link.write_done && !link.write_failure &&
                           link.buffer.size() == 0;
    const auto announced = link.parser->get().find("Keep-Alive");
    if (announced != link.parser->get().end())
        link.idle_timeout = parse_idle_timeout(announced->value());
    link.parser.reset();
    link.end_response();
    if (can_reuse)
        this->client.keep_idle(std::move(this->connection));
    else
        this->abort();
    this->connection.reset();
}

asio::awaitable<std::optional<std::string>> http_call::read_some()
{
    if (!this->connection)
        co_return std::nullopt;
    internal::http_connection& link = *this->connection;
    std::string chunk(read_chunk_bytes, '\0');
    while (!link.parser->is_done())
    {
        auto& body = link.parser->get().body();
        body.data = chunk.data();
        body.size = chunk.size();
        body.more = true;
        link.stream.expires_after(this->options.progress_timeout);
        boost::system::error_code failure;
        co_await beast::http::async_read_some(
            link.stream, link.buffer, *link.parser,
            asio::redirect_error(asio::use_awaitable, failure));
        const std::size_t received = chunk.size() - body.size;
        if (failure && failure != beast::http::error::need_buffer)
            throw link.make_error(failure);
        check_end(link);
        if (received > 0)
        {
            chunk.resize(received);
            co_return chunk;
        }
    }
    this->finish();
    co_return std::nullopt;
}

asio::awaitable<std::string> http_call::read_all(std::size_t max_bytes)
{
    std::string body;
    while (auto chunk = co_await this->read_some())
    {
        body += *chunk;
        if (body.size() <= max_bytes)
            continue;
        const std::string address = this->connection ? this->connection->address : "";
        this->abort();
        throw http_error(
            error_code::too_large, address,
            "the response body exceeds " + std::to_string(max_bytes) + " bytes", true);
    }
    co_return body;
}

http_client::http_client(asio::any_io_executor client_executor)
    : executor(std::move(client_executor)),
      deliveries(std::make_shared<internal::delivery_watch>(this->executor))
{
}

http_client::~http_client() = default;

asio::awaitable<std::unique_ptr<http_call>>
http_client::connect(const std::string& address, const http_call_options& options)
{
    std::shared_ptr<internal::http_connection> connection;
    if (!options.fresh_connection && options.pool != connection_pool::none)
        connection = this->take_idle(address, options.pool);
    const bool reused = connection != nullptr;
    if (!connection)
    {
        connection = std::make_shared<internal::http_connection>(this->executor, address);
        connection->pool = options.pool;
        const auto endpoint = parse_address(address);
        connection->stream.expires_after(options.connect_timeout);
        boost::system::error_code failure;
        co_await connection->stream.async_connect(
            endpoint, asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
        {
            throw http_error(error_code::connect_failed, address, failure.message(),
                             false);
        }
        connection->configure_socket();
    }
    auto call = std::make_unique<http_call>(*this, std::move(connection), options);
    call->reused = reused;
    call->reusable = options.pool != connection_pool::none;
    co_return call;
}

asio::awaitable<std::unique_ptr<http_call>>
http_client::open(const std::string& address, const http_request& request,
                  const http_call_options& options, const response_filter* filter)
{
    auto call = co_await this->connect(address, options);
    auto sent = std::make_shared<http_request>(request);
    if (sent->count(field::host) == 0)
        sent->set(field::host, address);
    co_await call->send(std::move(sent), filter);
    co_return call;
}

asio::awaitable<http_response> http_client::fetch(const std::string& address,
                                                  const http_request& request,
                                                  const http_call_options& options,
                                                  const response_filter* filter)
{
    const auto call = co_await this->connect(address, options);
    auto sent = std::make_shared<http_request>(request);
    if (sent->count(field::host) == 0)
        sent->set(field::host, address);
    const fetch_guard guard(this->fetching, call->connection);
    // A server that sends a byte from time to time would restart the progress timeout
    // again and again, so a timer bounds the whole call.
    const auto has_timed_out = std::make_shared<bool>(false);
    asio::steady_timer total_timer(this->executor, options.total_timeout);
    total_timer.async_wait(
        [has_timed_out,
         watched = std::weak_ptr(call->connection)](boost::system::error_code cancelled)
        {
            const auto connection = watched.lock();
            if (cancelled || !connection)
                return;
            *has_timed_out = true;
            connection->close();
        });
    try
    {
        co_await call->send(std::move(sent), filter);
        http_response response = call->head();
        response.body() = co_await call->read_all();
        co_return response;
    }
    catch (const http_error& failure)
    {
        if (!*has_timed_out)
            throw;
        throw http_error(error_code::timed_out, address,
                         "no complete response within " +
                             std::to_string(options.total_timeout.count()) + " ms",
                         failure.request_may_have_been_sent());
    }
}

void http_client::close_idle_connections(const std::string& address)
{
    for (const connection_pool pool :
         {connection_pool::identified, connection_pool::control})
        this->idle.erase({address, pool});
}

void http_client::close_connections(const std::string& address)
{
    this->close_idle_connections(address);
    for (const auto& connection : *this->fetching)
    {
        if (connection->address == address)
            connection->close();
    }
}

void http_client::drop_expired(state::time_point now)
{
    for (auto item = this->idle.begin(); item != this->idle.end();)
    {
        auto& connections = item->second;
        const auto expired = [now](const auto& connection) {
            return now - connection->idle_since >
                   connection->idle_timeout - idle_timeout_margin;
        };
        connections.erase(std::remove_if(connections.begin(), connections.end(), expired),
                          connections.end());
        item = connections.empty() ? this->idle.erase(item) : std::next(item);
    }
}

std::shared_ptr<internal::http_connection>
http_client::take_idle(const std::string& address, connection_pool pool)
{
    const auto found = this->idle.find({address, pool});
    if (found == this->idle.end())
        return nullptr;
    const auto now = std::chrono::steady_clock::now();
    auto& connections = found->second;
    while (!connections.empty())
    {
        auto connection = std::move(connections.back());
        connections.pop_back();
        const bool is_expired =
            now - connection->idle_since > connection->idle_timeout - idle_timeout_margin;
        if (!is_expired && !connection->is_stale())
            return connection;
    }
    return nullptr;
}

void http_client::keep_idle(std::shared_ptr<internal::http_connection> connection)
{
    auto& connections = this->idle[{connection->address, connection->pool}];
    if (connections.size() >= max_idle_per_address)
        return;
    connection->stream.expires_never();
    connection->idle_since = std::chrono::steady_clock::now();
    connections.push_back(std::move(connection));
}

} // namespace pomelorouter::transport
