#include "transport/http_client.hpp"

#include "transport/address.hpp"
#include "transport/http_error.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <utility>

namespace pomelorouter::transport
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using state::error_code;

namespace
{

constexpr std::size_t piece_bytes = 16 * 1024;
constexpr std::size_t max_head_bytes = 16 * 1024;
constexpr std::size_t max_idle_per_address = 256;

error_code classify(const boost::system::error_code& failure)
{
    return failure == beast::error::timeout ? error_code::timed_out
                                            : error_code::connection_lost;
}

} // namespace

namespace internal
{

class http_connection
{
public:
    http_connection(const asio::any_io_executor& executor, std::string peer)
        : stream(executor), address(std::move(peer))
    {
    }

    /// Whether the other end has closed the connection, or sent bytes nobody asked for.
    bool is_stale()
    {
        std::array<char, 1> byte{};
        boost::system::error_code failure;
        this->stream.socket().non_blocking(true, failure);
        this->stream.socket().receive(asio::buffer(byte), asio::socket_base::message_peek,
                                      failure);
        return failure != asio::error::would_block;
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::string address;
    std::optional<beast::http::response_parser<beast::http::buffer_body>> parser;
};

} // namespace internal

http_call::http_call(http_client& owner,
                     std::unique_ptr<internal::http_connection> call_connection,
                     const http_call_options& call_options)
    : client(owner), connection(std::move(call_connection)), options(call_options)
{
}

http_call::~http_call() = default;

const http_response& http_call::head() const
{
    return this->response_head;
}

asio::awaitable<void> http_call::send(const http_request& request)
{
    internal::http_connection& link = *this->connection;
    link.parser.emplace();
    link.parser->header_limit(max_head_bytes);
    link.parser->body_limit(this->options.max_body_bytes);
    // The answer to HEAD has the length of a body that does not follow.
    link.parser->skip(request.method() == verb::head);
    try
    {
        link.stream.expires_after(this->options.progress_timeout);
        co_await beast::http::async_write(link.stream, request, asio::use_awaitable);
        link.stream.expires_after(this->options.progress_timeout);
        co_await beast::http::async_read_header(link.stream, link.buffer, *link.parser,
                                                asio::use_awaitable);
    }
    catch (const boost::system::system_error& failure)
    {
        throw http_error(classify(failure.code()), link.address, failure.code().message(),
                         true);
    }
    this->response_head.base() = link.parser->get().base();
}

asio::awaitable<std::optional<std::string>> http_call::read_some()
{
    if (!this->connection)
        co_return std::nullopt;
    internal::http_connection& link = *this->connection;
    std::string piece(piece_bytes, '\0');
    while (!link.parser->is_done())
    {
        auto& body = link.parser->get().body();
        body.data = piece.data();
        body.size = piece.size();
        body.more = true;
        link.stream.expires_after(this->options.progress_timeout);
        boost::system::error_code failure;
        co_await beast::http::async_read_some(
            link.stream, link.buffer, *link.parser,
            asio::redirect_error(asio::use_awaitable, failure));
        const std::size_t received = piece.size() - body.size;
        if (failure && failure != beast::http::error::need_buffer)
            throw http_error(classify(failure), link.address, failure.message(), true);
        if (received > 0)
        {
            piece.resize(received);
            co_return piece;
        }
    }
    const bool reusable = link.parser->get().keep_alive();
    link.parser.reset();
    if (reusable)
        this->client.keep_idle(std::move(this->connection));
    else
        this->connection.reset();
    co_return std::nullopt;
}

asio::awaitable<std::string> http_call::read_all()
{
    std::string body;
    while (auto piece = co_await this->read_some())
        body += *piece;
    co_return body;
}

http_client::http_client(asio::any_io_executor client_executor)
    : executor(std::move(client_executor))
{
}

http_client::~http_client() = default;

asio::awaitable<std::unique_ptr<http_call>>
http_client::open(const std::string& address, const http_request& request,
                  const http_call_options& options)
{
    std::unique_ptr<internal::http_connection> connection;
    if (!options.fresh_connection)
        connection = this->take_idle(address);
    if (!connection)
    {
        connection = std::make_unique<internal::http_connection>(this->executor, address);
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
        connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), failure);
    }
    auto call = std::make_unique<http_call>(*this, std::move(connection), options);
    co_await call->send(request);
    co_return call;
}

asio::awaitable<http_response> http_client::fetch(const std::string& address,
                                                  const http_request& request,
                                                  const http_call_options& options)
{
    const auto call = co_await this->open(address, request, options);
    http_response response = call->head();
    response.body() = co_await call->read_all();
    co_return response;
}

void http_client::forget(const std::string& address)
{
    this->idle.erase(address);
}

std::unique_ptr<internal::http_connection>
http_client::take_idle(const std::string& address)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end())
        return nullptr;
    auto& connections = found->second;
    while (!connections.empty())
    {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (!connection->is_stale())
            return connection;
    }
    return nullptr;
}

void http_client::keep_idle(std::unique_ptr<internal::http_connection> connection)
{
    auto& connections = this->idle[connection->address];
    if (connections.size() < max_idle_per_address)
    {
        connection->stream.expires_never();
        connections.push_back(std::move(connection));
    }
}

} // namespace pomelorouter::transport
