#pragma once

#include "state/clock.hpp"
#include "state/counters.hpp"
#include "state/error.hpp"
#include "transport/http_types.hpp"
#include "transport/memory_budget.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pomelorouter::transport
{

namespace internal
{
struct http_server_state;
}

/// Limits of an HTTP server. The server answers a request that exceeds one with a typed
/// error and closes the connection; it closes a connection over `max_connections` or
/// `idle_timeout` without an answer.
struct http_server_limits
{
    std::size_t max_connections = 10000;
    /// If there is no room for a new connection, the one that has waited longest for a
    /// request is closed in its place.
    bool idle_connections_give_way = false;
    std::size_t max_header_bytes = 16 * 1024;
    /// The parsed form of a field takes far more memory than its bytes.
    std::size_t max_header_fields = 256;
    std::size_t max_body_bytes = 8 * 1024 * 1024;
    /// Maximum time to receive the header of a request; zero means `io_timeout`.
    state::milliseconds header_timeout{0};
    /// Maximum time to receive the body of a request, and to write one chunk of a
    /// response.
    state::milliseconds io_timeout{10000};
    /// The server closes a connection that is idle for this long.
    state::milliseconds idle_timeout{120000};
};

/// One request and the functions to answer it, either with a whole response or with a
/// stream of chunks. The functions that write throw `boost::system::system_error` if the
/// connection fails.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    virtual const http_request& request() const = 0;
    /// The request, for calls that may outlive the exchange.
    virtual std::shared_ptr<const http_request> shared_request() const
    {
        return std::make_shared<http_request>(this->request());
    }
    /// Sequence number of the connection in order of acceptance, starting at 1; 0 if the
    /// exchange has no connection.
    virtual std::uint64_t connection() const { return 0; }
    /// Sends a whole response.
    virtual boost::asio::awaitable<void> respond(http_response response) = 0;
    /// Sends the head of a chunked response.
    virtual boost::asio::awaitable<void> begin_stream(http_response head) = 0;
    /// Sends one chunk of the response body.
    virtual boost::asio::awaitable<void> write_piece(std::string piece) = 0;
    /// Sends the last chunk, which ends the response.
    virtual boost::asio::awaitable<void> end_stream() = 0;
    /// Whether the handler has started to send a response.
    virtual bool has_responded() const = 0;
    /// Whether the client has closed its end of the connection.
    virtual bool client_has_closed() = 0;
    /// Calls `callback` once if the client closes its end before the handler returns.
    /// Stops watching if the client sends its next request in the meantime.
    virtual void on_client_closed(std::function<void()> /*callback*/) {}
    /// Time at which the first byte of the request was received.
    virtual state::time_point received_at() const { return {}; }
};

/// Answers requests. The server calls it on its own thread, once for each request.
class http_handler
{
public:
    virtual ~http_handler() = default;

    virtual boost::asio::awaitable<void> handle(http_exchange& exchange) = 0;
    /// Whether a request with a body that is not small is refused because of its head.
    /// The server then does not read the body.
    virtual std::optional<state::error> refuse_head(const http_request& /*head*/) const
    {
        return std::nullopt;
    }
};

/// HTTP/1.1 server on one event loop. The handler and the counters must outlive it.
class http_server
{
public:
    http_server(boost::asio::io_context& loop, const http_server_limits& limits,
                http_handler& handler, state::counter_registry& counters);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Starts to accept connections on `ip:port` and returns the bound address. Throws
    /// `state::error` that names the address.
    std::string listen(const std::string& address);
    /// Takes the memory of clients from a budget; `use` is `requests` for callers, else
    /// `probes` or `control`. Must be called before `listen()`.
    void set_memory(std::shared_ptr<memory_budget> memory, memory_use use);
    /// Sets the limits of all requests whose first byte arrives from now on, and the idle
    /// timeout of all connections, waiting ones included. A lowered timeout begins anew
    /// on those.
    void set_limits(const http_server_limits& limits);
    /// Makes each response from now on close its connection.
    void announce_close();
    /// Accepts the connections in the queue of the listener and closes the listener. Open
    /// connections are still served, since a request may be arriving on any of them; each
    /// response then closes its connection.
    void stop_accepting();
    /// Whether a connection has received bytes that the server has not read yet. Must be
    /// called on the server's thread.
    bool has_unread_requests() const;
    /// Number of requests of which a byte was received and that are not yet fully
    /// answered. Includes, for a short time after the listener was closed, new
    /// connections without a request. May be called on any thread.
    std::size_t requests_in_flight() const;

private:
    using shared_state = std::shared_ptr<internal::http_server_state>;

    static boost::asio::awaitable<void> accept_loop(shared_state shared);
    static void serve(const shared_state& shared, boost::asio::ip::tcp::socket socket);

    shared_state shared;
};

} // namespace pomelorouter::transport
