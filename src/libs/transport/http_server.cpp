#include "transport/http_server.hpp"

#include "protocol/refusal.hpp"
#include "state/error.hpp"
#include "state/log.hpp"
#include "transport/address.hpp"
#include "transport/background_task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <optional>
#include <set>
#include <utility>

namespace pomelorouter::transport
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

/// A stopping server waits this long for the first request on a new connection.
constexpr state::milliseconds first_request_timeout{500};

} // namespace

struct http_server::shared_state
{
    shared_state(asio::io_context& event_loop, const http_server_limits& server_limits,
                 http_handler& request_handler, state::counter_registry& counters)
        : loop(event_loop),
          limits(server_limits),
          handler(request_handler),
          acceptor(event_loop),
          requests(counters.count("http_requests_total", "requests received")),
          bad_requests(counters.count("http_bad_requests_total",
                                      "requests refused before they reached a handler")),
          refused_connections(counters.count("http_refused_connections_total",
                                             "connections closed over max_connections")),
          open_connections(
              counters.gauge("http_open_connections", "open client connections"))
    {
    }

    asio::io_context& loop;
    http_server_limits limits;
    http_handler& handler;
    asio::ip::tcp::acceptor acceptor;
    state::counter& requests;
    state::counter& bad_requests;
    state::counter& refused_connections;
    state::counter& open_connections;
    std::set<session*> sessions;
    /// Ends the wait for the first request on connections that had none when the server
    /// stopped accepting.
    asio::steady_timer first_request_timer{this->loop};
    std::uint64_t last_connection_number = 0;
    /// Read by other threads during a planned stop.
    std::atomic<std::size_t> in_flight = 0;
    bool closing = false;
    bool accepting = true;
};

class http_server::session : public http_exchange
{
    /// Timeout of the request that is being read. Shared with the timer callback, which
    /// may run after the session ended.
    struct read_timeout
    {
        std::uint64_t request_number = 0;
        bool active = false;
        bool expired = false;
    };

    /// Counts a request as in flight from its first byte on, so that a planned stop waits
    /// for a request that is still being received.
    class in_flight_guard
    {
    public:
        explicit in_flight_guard(std::atomic<std::size_t>& counted) : count(counted)
        {
            ++this->count;
        }
        ~in_flight_guard() { --this->count; }
        in_flight_guard(const in_flight_guard&) = delete;
        in_flight_guard& operator=(const in_flight_guard&) = delete;

    private:
        std::atomic<std::size_t>& count;
    };

    /// Callback for a connection that the client closes. Shared with the wait on the
    /// socket, which may end after the session.
    struct close_watch
    {
        bool is_waiting = false;
        std::function<void()> callback;
    };

public:
    session(std::shared_ptr<shared_state> server, asio::ip::tcp::socket socket)
        : shared(std::move(server)),
          stream(std::move(socket)),
          read_timer(this->shared->loop),
          number(++this->shared->last_connection_number)
    {
        this->shared->sessions.insert(this);
        this->shared->open_connections.set(
            static_cast<std::int64_t>(this->shared->sessions.size()));
    }

    ~session() override
    {
        this->timeout->active = false;
        this->watch->callback = nullptr;
        this->shared->sessions.erase(this);
        this->shared->open_connections.set(
            static_cast<std::int64_t>(this->shared->sessions.size()));
    }
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    asio::awaitable<void> run()
    {
        bool keep_open = true;
        while (keep_open)
            keep_open = co_await this->serve_one();
        boost::system::error_code ignored;
        this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }

    /// Counts the connection as a request in flight if it has received no request yet.
    void count_until_first_request()
    {
        if (!this->has_received_bytes)
            this->first_request_guard.emplace(this->shared->in_flight);
    }
    void stop_counting_first_request() { this->first_request_guard.reset(); }

    /// Whether the socket has received bytes that the session has not read yet.
    bool has_unread_bytes()
    {
        boost::system::error_code failure;
        return this->stream.socket().available(failure) > 0 && !failure;
    }

    const http_request& request() const override { return this->current_request; }
    std::uint64_t connection() const override { return this->number; }
    bool has_responded() const override { return this->responded; }
    state::time_point received_at() const override { return this->arrival; }

    void on_client_closed(std::function<void()> callback) override
    {
        this->watch->callback = std::move(callback);
        if (this->watch->is_waiting || this->buffer.size() > 0)
            return;
        this->watch->is_waiting = true;
        this->stream.socket().async_wait(
            asio::socket_base::wait_read,
            [this, shared_watch = this->watch](boost::system::error_code failure)
            {
                shared_watch->is_waiting = false;
                // The callback is cleared when the handler returns and when the session
                // ends.
                if (!shared_watch->callback || failure == asio::error::operation_aborted)
                    return;
                if (!this->client_has_closed())
                    return;
                const auto notify = std::exchange(shared_watch->callback, nullptr);
                notify();
            });
    }

    bool client_has_closed() override
    {
        std::array<char, 1> byte{};
        boost::system::error_code failure;
        this->stream.socket().non_blocking(true, failure);
        const std::size_t received = this->stream.socket().receive(
            asio::buffer(byte), asio::socket_base::message_peek, failure);
        return received == 0 && failure != asio::error::would_block;
    }

    asio::awaitable<void> respond(http_response response) override
    {
        this->prepare_head(response);
        response.prepare_payload();
        this->stream.expires_after(this->shared->limits.io_timeout);
        co_await http::async_write(this->stream, response, asio::use_awaitable);
    }

    asio::awaitable<void> begin_stream(http_response head) override
    {
        this->prepare_head(head);
        http::response<http::empty_body> empty{std::move(head.base())};
        empty.chunked(true);
        http::response_serializer<http::empty_body> serializer{empty};
        this->stream.expires_after(this->shared->limits.io_timeout);
        co_await http::async_write_header(this->stream, serializer, asio::use_awaitable);
    }

    asio::awaitable<void> write_piece(std::string piece) override
    {
        this->stream.expires_after(this->shared->limits.io_timeout);
        co_await asio::async_write(this->stream, http::make_chunk(asio::buffer(piece)),
                                   asio::use_awaitable);
    }

    asio::awaitable<void> end_stream() override
    {
        this->stream.expires_after(this->shared->limits.io_timeout);
        co_await asio::async_write(this->stream, http::make_chunk_last(),
                                   asio::use_awaitable);
    }

private:
    /// Serves one request. Returns whether the connection stays open for another one.
    asio::awaitable<bool> serve_one()
    {
        http::request_parser<http::string_body> parser;
        parser.header_limit(
            static_cast<std::uint32_t>(this->shared->limits.max_header_bytes));
        parser.body_limit(this->shared->limits.max_body_bytes);
        this->responded = false;
        boost::system::error_code failure;
        if (this->buffer.size() == 0)
        {
            this->stream.expires_after(this->shared->limits.idle_timeout);
            co_await this->read_first_bytes(failure);
            if (failure)
                co_return false;
        }
        const in_flight_guard guard(this->shared->in_flight);
        this->has_received_bytes = true;
        this->first_request_guard.reset();
        this->arrival = std::chrono::steady_clock::now();
        co_await this->read_request(parser, failure);
        if (failure)
        {
            co_await this->refuse_bad_request(failure);
            co_return false;
        }
        this->shared->requests.add();
        this->current_request = parser.release();
        this->stream.expires_never();
        const bool completed = co_await this->call_handler();
        this->watch->callback = nullptr;
        co_return completed&& this->keep_alive;
    }

    /// Reads one request within its timeout. The timeout of the stream is not used, since
    /// it closes the socket and the server could not send the error to a slow client.
    asio::awaitable<void> read_request(http::request_parser<http::string_body>& parser,
                                       boost::system::error_code& failure)
    {
        this->stream.expires_never();
        const http_server_limits& limits = this->shared->limits;
        this->start_read_timeout(limits.header_timeout.count() > 0 ? limits.header_timeout
                                                                   : limits.io_timeout);
        co_await http::async_read_header(
            this->stream, this->buffer, parser,
            asio::redirect_error(asio::use_awaitable, failure));
        if (!failure)
            this->check_framing(parser, failure);
        if (!failure && !parser.is_done())
        {
            this->read_timer.cancel();
            this->start_read_timeout(this->shared->limits.io_timeout);
            if (beast::iequals(parser.get()[http::field::expect], "100-continue"))
                co_await this->send_continue(failure);
            if (!failure)
            {
                co_await http::async_read(
                    this->stream, this->buffer, parser,
                    asio::redirect_error(asio::use_awaitable, failure));
            }
        }
        this->timeout->active = false;
        this->read_timer.cancel();
        if (failure && this->timeout->expired)
            failure = beast::error::timeout;
    }

    /// Rejects ambiguous framing, which two HTTP implementations may parse differently.
    static void check_framing(const http::request_parser<http::string_body>& parser,
                              boost::system::error_code& failure)
    {
        const auto& head = parser.get();
        const auto encodings = head.equal_range(http::field::transfer_encoding);
        for (auto item = encodings.first; item != encodings.second; ++item)
        {
            if (!beast::iequals(item->value(), "chunked") ||
                std::next(item) != encodings.second)
                failure = http::error::bad_transfer_encoding;
        }
        if (encodings.first != encodings.second &&
            head.count(http::field::content_length) > 0)
            failure = http::error::bad_content_length;
        if (head.count(http::field::host) > 1)
            failure = http::error::bad_value;
    }

    asio::awaitable<void> send_continue(boost::system::error_code& failure)
    {
        static constexpr std::string_view answer = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(this->stream, asio::buffer(answer),
                                   asio::redirect_error(asio::use_awaitable, failure));
    }

    void start_read_timeout(state::milliseconds duration)
    {
        this->timeout->active = true;
        this->timeout->expired = false;
        const std::uint64_t request_number = ++this->timeout->request_number;
        this->read_timer.expires_after(duration);
        this->read_timer.async_wait(
            [this, shared_timeout = this->timeout,
             request_number](boost::system::error_code)
            {
                // The wait may end after its request or after the session.
                if (!shared_timeout->active ||
                    shared_timeout->request_number != request_number)
                    return;
                shared_timeout->expired = true;
                this->stream.cancel();
            });
    }

    asio::awaitable<void> read_first_bytes(boost::system::error_code& failure)
    {
        constexpr std::size_t read_bytes = 4096;
        const std::size_t received = co_await this->stream.async_read_some(
            this->buffer.prepare(read_bytes),
            asio::redirect_error(asio::use_awaitable, failure));
        this->buffer.commit(received);
    }

    asio::awaitable<bool> call_handler()
    {
        std::optional<state::error> refused;
        try
        {
            co_await this->shared->handler.handle(*this);
        }
        catch (const state::error& failure)
        {
            refused = failure;
        }
        catch (const boost::system::system_error&)
        {
            co_return false; // the client has closed the connection
        }
        catch (...)
        {
            // An unexpected error of one request must not affect the others.
            log_current_exception("request");
            refused.emplace(state::error_code::internal, "request", "no internal error");
        }
        if (!refused)
            co_return this->responded;
        // A response that has begun can only be aborted; the client detects this by the
        // missing last chunk.
        if (this->responded)
            co_return false;
        co_return co_await this->respond_error(*refused,
                                               protocol::status_of(refused->code()));
    }

    asio::awaitable<bool> respond_error(const state::error& failure, unsigned code)
    {
        try
        {
            const protocol::refusal refusal(failure);
            co_await this->respond(
                json_response(static_cast<http::status>(code), refusal.to_json()));
        }
        catch (const boost::system::system_error&)
        {
            co_return false;
        }
        co_return true;
    }

    asio::awaitable<void> refuse_bad_request(const boost::system::error_code& failure)
    {
        const bool is_disconnect = failure == http::error::end_of_stream ||
                                   failure == asio::error::connection_reset ||
                                   failure == asio::error::operation_aborted;
        if (is_disconnect)
            co_return;
        this->shared->bad_requests.add();
        this->keep_alive = false;
        this->current_request = {};
        const auto [refused, code] = this->bad_request_error(failure);
        co_await this->respond_error(refused, code);
    }

    struct bad_request_answer
    {
        state::error refused;
        unsigned code;
    };

    bad_request_answer bad_request_error(const boost::system::error_code& failure) const
    {
        const http_server_limits& limits = this->shared->limits;
        using state::error_code;
        if (failure == http::error::body_limit)
        {
            return {{error_code::too_large, "body",
                     "at most " + std::to_string(limits.max_body_bytes) + " bytes"},
                    413};
        }
        if (failure == http::error::header_limit)
        {
            return {{error_code::too_large, "header",
                     "at most " + std::to_string(limits.max_header_bytes) + " bytes"},
                    431};
        }
        if (failure == beast::error::timeout)
        {
            return {{error_code::timed_out, "request",
                     "the whole request within " +
                         std::to_string(limits.io_timeout.count()) + " ms"},
                    408};
        }
        return {{error_code::malformed_frame, "request", failure.message()}, 400};
    }

    void prepare_head(http_response& head)
    {
        this->keep_alive = this->keep_alive && this->current_request.keep_alive() &&
                           !this->shared->closing;
        head.keep_alive(this->keep_alive);
        this->responded = true;
    }

    std::shared_ptr<shared_state> shared;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    asio::steady_timer read_timer;
    std::shared_ptr<read_timeout> timeout = std::make_shared<read_timeout>();
    std::shared_ptr<close_watch> watch = std::make_shared<close_watch>();
    state::time_point arrival{};
    http_request current_request;
    std::uint64_t number;
    bool responded = false;
    bool keep_alive = true;
    /// Whether the connection has received a byte of a request.
    bool has_received_bytes = false;
    std::optional<in_flight_guard> first_request_guard;
};

http_server::http_server(asio::io_context& loop, const http_server_limits& limits,
                         http_handler& handler, state::counter_registry& counters)
    : shared(std::make_shared<shared_state>(loop, limits, handler, counters))
{
}

http_server::~http_server()
{
    this->stop_accepting();
}

std::string http_server::listen(const std::string& address)
{
    std::string bound = open_listener(this->shared->acceptor, address);
    asio::co_spawn(this->shared->loop, accept_loop(this->shared), asio::detached);
    return bound;
}

void http_server::set_limits(const http_server_limits& limits)
{
    this->shared->limits = limits;
}

void http_server::announce_close()
{
    this->shared->closing = true;
}

void http_server::stop_accepting()
{
    this->shared->closing = true;
    if (!std::exchange(this->shared->accepting, false))
        return;
    // Connections in the listener's queue are already established for their clients, and
    // closing the listener would reset them.
    boost::system::error_code failure;
    this->shared->acceptor.non_blocking(true, failure);
    while (!failure)
    {
        asio::ip::tcp::socket socket(this->shared->loop);
        this->shared->acceptor.accept(socket, failure);
        if (!failure)
            serve(this->shared, std::move(socket));
    }
    boost::system::error_code ignored;
    this->shared->acceptor.close(ignored);
    for (session* const item : this->shared->sessions)
        item->count_until_first_request();
    this->shared->first_request_timer.expires_after(first_request_timeout);
    this->shared->first_request_timer.async_wait(
        [shared = this->shared](boost::system::error_code)
        {
            for (session* const item : shared->sessions)
                item->stop_counting_first_request();
        });
}

bool http_server::has_unread_requests() const
{
    return std::any_of(this->shared->sessions.begin(), this->shared->sessions.end(),
                       [](session* item) { return item->has_unread_bytes(); });
}

std::size_t http_server::requests_in_flight() const
{
    return this->shared->in_flight;
}

asio::awaitable<void> http_server::accept_loop(std::shared_ptr<shared_state> shared)
{
    while (shared->accepting)
    {
        boost::system::error_code failure;
        asio::ip::tcp::socket socket = co_await shared->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted)
            co_return;
        if (!failure)
            serve(shared, std::move(socket));
    }
}

void http_server::serve(const std::shared_ptr<shared_state>& shared,
                        asio::ip::tcp::socket socket)
{
    if (shared->sessions.size() >= shared->limits.max_connections)
    {
        shared->refused_connections.add();
        return;
    }
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto client = std::make_unique<session>(shared, std::move(socket));
    asio::co_spawn(
        shared->loop,
        [owned = std::move(client)]() -> asio::awaitable<void> { co_await owned->run(); },
        asio::detached);
}

} // namespace pomelorouter::transport
