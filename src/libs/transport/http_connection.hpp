#pragma once

#include "state/clock.hpp"
#include "transport/ack_monitor.hpp"
#include "transport/connection_close.hpp"
#include "transport/connection_pool.hpp"
#include "transport/http_error.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <optional>
#include <string>

namespace pomelorouter::transport::internal
{

/// Idle timeout that is assumed for servers that announce none.
inline constexpr state::milliseconds default_idle_timeout{120000};

/// Connection of an `http_client` to a server, which carries one call at a time.
class http_connection
{
public:
    http_connection(const boost::asio::any_io_executor& executor, std::string peer);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /// Makes the kernel detect a broken network path, and discard a request that is given
    /// up.
    void configure_socket();
    /// Whether the server has closed the connection or sent bytes without a request.
    bool is_stale();
    /// Whether the end of the stream, which a read has found, is the server's: it was not
    /// caused by a reset or a broken network path.
    bool was_ended_by_server();
    /// Starts to supervise the delivery of a request.
    void begin_request();
    /// Processes the end of the response.
    void end_response();
    /// Closes the connection as the progress of its call demands.
    void close();
    /// Closes the connection if the server does not acknowledge what was sent to it.
    /// Returns whether the delivery of the request must still be supervised.
    bool check_delivery(state::time_point now);
    /// Returns the error of a call that ends with `failure`.
    http_error make_error(const boost::system::error_code& failure) const;

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::string address;
    connection_pool pool = connection_pool::identified;
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>>
        parser;
    bool write_done = false;
    boost::system::error_code write_failure;
    state::milliseconds idle_timeout = default_idle_timeout;
    state::time_point idle_since{};

private:
    ack_monitor acks;
    call_progress progress = call_progress::none;
    /// The kernel drops the connection if sent bytes stay unacknowledged.
    bool has_user_timeout = false;
    bool is_unreachable = false;
};

} // namespace pomelorouter::transport::internal
