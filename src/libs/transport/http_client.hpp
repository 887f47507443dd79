#pragma once

#include "state/clock.hpp"
#include "transport/connection_pool.hpp"
#include "transport/http_types.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/span_body.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pomelorouter::transport
{

namespace internal
{
class delivery_watch;
class http_connection;
} // namespace internal

/// Limits of one HTTP call.
struct http_call_options
{
    state::milliseconds connect_timeout{500};
    /// Maximum time without progress in writing the request or reading the response.
    state::milliseconds progress_timeout{2000};
    /// Maximum duration of a whole `fetch()`, independent of progress.
    state::milliseconds total_timeout{10000};
    /// Opens a new connection for the call, so that a write failure cannot stem from an
    /// idle connection that the server had already closed.
    bool fresh_connection = false;
    connection_pool pool = connection_pool::identified;
    /// Maximum size of the response body. The default fits control calls; calls that
    /// expect more must set it.
    std::size_t max_body_bytes = 64 * 1024;
};

/// Decides which response on a connection belongs to the request that was sent on it.
class response_filter
{
public:
    virtual ~response_filter() = default;

    /// Whether `head` answers the request. If not, the call skips this response and reads
    /// the next one. `is_reused` is true if the connection has carried an earlier
    /// request, whose response may still arrive.
    virtual bool is_answer(const http_response& head, bool is_reused) const = 0;
};

class http_client;

/// A request whose body is that of a received request, so that it is held only once.
struct forwarded_request
{
    using message_type =
        boost::beast::http::request<boost::beast::http::span_body<const char>>;

    message_type message;
    /// Owns the body.
    std::shared_ptr<const http_request> received;
};

/// One request in flight whose response body is read in chunks. Destroying the call
/// before the end of the response closes the connection. The client must outlive its
/// calls.
class http_call
{
public:
    http_call(http_client& owner, std::shared_ptr<internal::http_connection> connection,
              const http_call_options& options);
    ~http_call();
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;

    /// Sends a request and reads the head of its response; may be called once. Reads the
    /// response while the request is still being written, since the server may answer
    /// early. Throws `http_error`.
    boost::asio::awaitable<void> send(std::shared_ptr<const http_request> request,
                                      const response_filter* filter = nullptr);
    boost::asio::awaitable<void> send(std::shared_ptr<const forwarded_request> request,
                                      const response_filter* filter = nullptr);
    /// Closes the connection; a pending `send()` or `read_some()` fails with
    /// `connection_lost`.
    void abort();
    /// Whether the connection has carried an earlier request.
    bool is_reused() const { return this->reused; }
    /// Closes the connection after the response, so that no other request is sent on it.
    void forbid_reuse() { this->reusable = false; }

    /// Status and header of the response.
    const http_response& head() const;
    /// Reads the next bytes of the body and waits up to the progress timeout for them.
    /// Returns nothing at the end of the body. Throws `http_error`.
    boost::asio::awaitable<std::optional<std::string>> read_some();
    /// Changes the progress timeout of the following reads.
    void set_progress_timeout(state::milliseconds timeout)
    {
        this->options.progress_timeout = timeout;
    }
    /// Reads the rest of the body. Throws `http_error`; if the rest exceeds `max_bytes`,
    /// also closes the connection.
    boost::asio::awaitable<std::string> read_all(std::size_t max_bytes);
    boost::asio::awaitable<std::string> read_all()
    {
        return this->read_all(this->options.max_body_bytes);
    }

private:
    friend class http_client;

    /// Starts to write `message`, which `owner` keeps.
    template <typename Message>
    void begin_write(const Message& message, std::shared_ptr<const void> owner);
    /// Reads the head of the response to the request.
    boost::asio::awaitable<void> read_response(bool is_head_request,
                                               const response_filter* filter);
    boost::asio::awaitable<void> read_head(bool is_head_request);
    boost::asio::awaitable<void> skip_body(std::size_t& skipped_bytes);
    void finish();

    http_client& client;
    std::shared_ptr<internal::http_connection> connection;
    http_call_options options;
    http_response response_head;
    bool reused = false;
    bool reusable = true;
};

/// HTTP client with a pool of idle connections per address. All calls must be made on the
/// one thread that runs `executor`.
class http_client
{
public:
    explicit http_client(boost::asio::any_io_executor executor);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Takes an idle connection from the pool or opens one; sends nothing. Throws
    /// `http_error`.
    boost::asio::awaitable<std::unique_ptr<http_call>>
    connect(const std::string& address, const http_call_options& options);
    /// Sends a request and reads the head of the response. Throws `http_error`.
    boost::asio::awaitable<std::unique_ptr<http_call>>
    open(const std::string& address, const http_request& request,
         const http_call_options& options, const response_filter* filter = nullptr);
    /// Sends a request and reads the whole response. Skips the responses that `filter`
    /// does not accept. Throws `http_error`.
    boost::asio::awaitable<http_response> fetch(const std::string& address,
                                                const http_request& request,
                                                const http_call_options& options,
                                                const response_filter* filter = nullptr);
    /// Closes the idle connections to an address. Call it after a call got no response,
    /// since a device on the path that lost the state of one connection may have lost the
    /// state of the others.
    void close_idle_connections(const std::string& address);
    /// Closes the idle connections to an address and those of each `fetch()` in progress
    /// there, which fails.
    void close_connections(const std::string& address);
    /// Closes the idle connections that reach the idle timeout of their server soon.
    void drop_expired(state::time_point now);

private:
    friend class http_call;

    using connection_set = std::set<std::shared_ptr<internal::http_connection>>;
    using idle_key = std::pair<std::string, connection_pool>;

    /// Keeps a connection in a set during a call.
    class fetch_guard
    {
    public:
        fetch_guard(std::shared_ptr<connection_set> all,
                    const std::shared_ptr<internal::http_connection>& connection)
            : connections(std::move(all)),
              place(this->connections->insert(connection).first)
        {
        }
        ~fetch_guard() { this->connections->erase(this->place); }
        fetch_guard(const fetch_guard&) = delete;
        fetch_guard& operator=(const fetch_guard&) = delete;

    private:
        std::shared_ptr<connection_set> connections;
        connection_set::iterator place;
    };

    std::shared_ptr<internal::http_connection> take_idle(const std::string& address,
                                                         connection_pool pool);
    void keep_idle(std::shared_ptr<internal::http_connection> connection);

    boost::asio::any_io_executor executor;
    std::shared_ptr<internal::delivery_watch> deliveries;
    std::map<idle_key, std::vector<std::shared_ptr<internal::http_connection>>> idle;
    /// Connections of each `fetch()` in progress. Shared with the calls, which the event
    /// loop may destroy after the client.
    std::shared_ptr<connection_set> fetching = std::make_shared<connection_set>();
};

} // namespace pomelorouter::transport
