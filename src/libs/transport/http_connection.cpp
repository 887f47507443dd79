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
/// A connection is dropped if the server acknowledges nothing for this long.
constexpr state::milliseconds ack_timeout{2000};
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

error_code classify(const boost::system::error_code& failure)
{
    if (failure == beast::error::timeout)
        return error_code::timed_out;
    if (failure == beast::http::error::body_limit)
        return error_code::too_large;
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
    : stream(executor),
      buffer(max_buffer_bytes),
      address(std::move(peer)),
      acks(ack_timeout)
{
}

http_connection::~http_connection()
{
    this->close();
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
    set_user_timeout(socket.native_handle(), ack_timeout);
    this->has_user_timeout = true;
    // Applies to each close that is not by `close()` too: the timeouts of the stream, and
    // the end of the process.
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
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

void http_connection::begin_request()
{
    this->write_done = false;
    this->write_failure = {};
    this->acks.reset();
    this->progress = call_progress::unanswered;
}

void http_connection::end_response()
{
    const bool is_written = this->write_done && !this->write_failure;
    this->progress = is_written ? call_progress::answered : call_progress::answered_early;
}

void http_connection::close()
{
    if (!this->stream.socket().is_open())
        return;
    if (choose_close(this->progress) == close_kind::orderly)
    {
        boost::system::error_code ignored;
        this->stream.socket().set_option(asio::socket_base::linger(false, 0), ignored);
    }
    this->stream.close();
}

/// The kernel's timeout also ends a connection whose peer acknowledges and does not read,
/// so it is disabled for such a peer. From then on only this function detects silence.
bool http_connection::check_delivery(state::time_point now)
{
    asio::ip::tcp::socket& socket = this->stream.socket();
    if (!socket.is_open())
        return false;
    auto sample = read_send_state(socket.native_handle());
    if (!sample)
        return false;
    // While the request is still being written, new bytes replace acknowledged ones.
    if (!this->write_done)
        sample->queued_bytes.reset();
    switch (this->acks.on_sample(now, *sample))
    {
    case peer_state::up_to_date:
        return !this->write_done;
    case peer_state::awaited:
        if (!sample->queued_bytes)
            return true;
        // The kernel's timeout would end the connection without discarding the request.
        [[fallthrough]];
    case peer_state::responding:
        if (std::exchange(this->has_user_timeout, false))
            set_user_timeout(socket.native_handle(), state::milliseconds(0));
        return true;
    case peer_state::silent:
        break;
    }
    this->is_unreachable = true;
    this->close();
    return false;
}

http_error http_connection::make_error(const boost::system::error_code& failure) const
{
    if (this->is_unreachable)
    {
        return {error_code::connection_lost, this->address,
                "the server has acknowledged nothing for " +
                    std::to_string(ack_timeout.count()) + " ms",
                true};
    }
    return {classify(failure), this->address, failure.message(), true};
}

} // namespace pomelorouter::transport::internal
