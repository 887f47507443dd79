#include "transport/http_connection.hpp"

#include "transport/tcp_socket_state.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

#include <array>
#include <netinet/tcp.h>
#include <utility>

namespace pomelorouter::transport::internal
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using state::error_code;

namespace
{

/// Limit of the bytes of a response that are received and not yet parsed. Bounds a header
/// field, a chunk extension or a trailer that does not end.
constexpr std::size_t max_buffer_bytes = 64 * 1024;
/// The kernel drops a connection whose sent bytes stay unacknowledged for this long.
constexpr int tcp_user_timeout_ms = 2000;
/// TCP keep-alive probes of a connection on which nothing arrives.
constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;

using keepalive_idle_option =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using keepalive_interval_option =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using keepalive_probes_option =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using user_timeout_option =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

error_code classify(const boost::system::error_code& failure)
{
    if (failure == beast::error::timeout)
        return error_code::timed_out;
    const bool is_parser_error =
        failure.category() ==
        beast::http::make_error_code(beast::http::error{}).category();
    const bool has_ended = failure == beast::http::error::end_of_stream ||
                           failure == beast::http::error::partial_message;
    return is_parser_error && !has_ended ? error_code::wrong_answer
                                         : error_code::connection_lost;
}

} // namespace

http_connection::http_connection(const asio::any_io_executor& executor, std::string peer)
    : stream(executor), buffer(max_buffer_bytes), address(std::move(peer))
{
}

/// Failures are ignored, since the timeouts of the calls still apply.
void http_connection::configure_socket()
{
    asio::ip::tcp::socket& socket = this->stream.socket();
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(keepalive_idle_option(keepalive_idle_s), ignored);
    socket.set_option(keepalive_interval_option(keepalive_interval_s), ignored);
    socket.set_option(keepalive_probes_option(keepalive_probes), ignored);
    socket.set_option(user_timeout_option(tcp_user_timeout_ms), ignored);
}

bool http_connection::is_stale()
{
    std::array<char, 1> byte{};
    boost::system::error_code failure;
    this->stream.socket().non_blocking(true, failure);
    this->stream.socket().receive(asio::buffer(byte), asio::socket_base::message_peek,
                                  failure);
    return failure != asio::error::would_block;
}

/// The kernel reports the error of a lost connection once. If the pending write takes it,
/// the read only finds the end of the stream, as after an orderly close.
bool http_connection::was_ended_by_server()
{
    asio::ip::tcp::socket& socket = this->stream.socket();
    const receive_end end = read_receive_end(socket.native_handle());
    if (end == receive_end::closed_by_peer)
        return true;
    boost::system::error_code loss = this->write_failure;
    if (!loss)
    {
        asio::detail::socket_option::integer<SOL_SOCKET, SO_ERROR> pending_error;
        boost::system::error_code failure;
        socket.get_option(pending_error, failure);
        loss.assign(pending_error.value(), boost::system::system_category());
    }
    // A server that has closed its half resets the connection when the rest of the
    // request arrives. The kernel reports only that reset as a broken pipe.
    if (loss)
        return loss == asio::error::broken_pipe;
    return end != receive_end::connection_gone;
}

http_error http_connection::make_error(const boost::system::error_code& failure) const
{
    return {classify(failure), this->address, failure.message(), true};
}

} // namespace pomelorouter::transport::internal
