#include "scripted_server.hpp"

#include "transport/address.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <netinet/tcp.h>
#include <utility>

namespace pomelorouter::test
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr int receive_buffer_bytes = 64 * 1024;
/// Segments of the size that Ethernet allows; those of loopback carry 64 KB each.
constexpr int segment_bytes = 1448;

} // namespace

scripted_server::scripted_server(asio::io_context& event_loop, script connection_script)
    : loop(event_loop), acceptor(event_loop), handle(std::move(connection_script))
{
    using segment_option = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;
    const auto endpoint = transport::parse_address("127.0.0.1:0");
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(
        asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    this->acceptor.set_option(segment_option(segment_bytes));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
    this->address = transport::format_address(this->acceptor.local_endpoint());
    asio::co_spawn(this->loop, this->accept(), asio::detached);
}

asio::awaitable<void> scripted_server::accept()
{
    for (;;)
    {
        boost::system::error_code failure;
        auto socket = std::make_shared<tcp::socket>(co_await this->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure)));
        if (failure)
            co_return;
        ++this->connections;
        const auto run = [](script handler,
                            std::shared_ptr<tcp::socket> owned) -> asio::awaitable<void>
        { co_await handler(*owned); };
        asio::co_spawn(this->loop, run(this->handle, std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> read_request_head(tcp::socket& socket)
{
    std::string head;
    std::array<char, 1> byte{};
    boost::system::error_code failure;
    while (!failure && head.find("\r\n\r\n") == std::string::npos)
    {
        const std::size_t size = co_await socket.async_read_some(
            asio::buffer(byte), asio::redirect_error(asio::use_awaitable, failure));
        head.append(byte.data(), size);
    }
}

asio::awaitable<boost::system::error_code> read_to_end(tcp::socket& socket)
{
    std::array<char, 16384> bytes{};
    boost::system::error_code failure;
    while (!failure)
    {
        co_await socket.async_read_some(
            asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failure));
    }
    co_return failure;
}

asio::awaitable<void> write_text(tcp::socket& socket, std::string text)
{
    boost::system::error_code failure;
    co_await asio::async_write(socket, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, failure));
}

void reset_connection(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace pomelorouter::test
