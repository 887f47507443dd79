#pragma once

#include "protocol/refusal.hpp"
#include "transport/http_server.hpp"
#include "transport/http_server_state.hpp"
#include "transport/memory_budget.hpp"
#include "transport/receive_progress.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include <atomic>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace pomelorouter::transport::internal
{

/// Memory of a connection without a request: its objects and the buffer of the next read.
inline constexpr std::size_t connection_bytes = 16 * 1024;
/// Upper estimate for a request without its body: its fields as received, parsed and sent
/// on, and what the kernel holds of bytes that are not read meanwhile.
inline constexpr std::size_t request_bytes = 80 * 1024;
/// Bodies up to this size are not large.
inline constexpr std::size_t small_body_bytes = 64 * 1024;
/// Read buffer of a request with a body.
inline constexpr std::size_t read_buffer_bytes = 64 * 1024;

/// Memory that a body of the given size and the buffer for its reads take.
std::size_t body_cost(std::size_t bytes);

/// One connection of a server.
class http_session : public http_exchange
{
    /// Timeout of the wait for a request, or of the request that is being read. Shared
    /// with the timer callback, which may run after the session ended.
    struct read_timeout
    {
        std::uint64_t wait_number = 0;
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

    using request_parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

public:
    http_session(std::shared_ptr<http_server_state> server,
                 boost::asio::ip::tcp::socket socket, memory_reservation memory);
    ~http_session() override;
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    boost::asio::awaitable<void> run();

    /// Counts the connection as a request in flight if it has received no request yet.
    void count_until_first_request();
    void stop_counting_first_request() { this->first_request_guard.reset(); }
    /// Whether the socket has received bytes that the session has not read yet.
    bool has_unread_bytes();
    /// Closes the connection, which waits for a request.
    void close_idle();
    /// Applies a changed idle timeout to the connection, which waits for a request.
    void on_idle_timeout_changed();
    /// Ends the request that is being received, since another one needs the memory.
    void give_way();
    bool has_given_way() const { return this->gave_way; }
    /// Whether the session waits for memory itself.
    bool is_waiting() const { return this->waits_for_memory; }
    /// Whether a large body is being received whose size is not known.
    bool has_open_size() const { return this->is_open_ended; }
    const receive_progress& progress() const { return this->received; }
    /// Memory that the request holds of a use.
    std::size_t held(memory_use use) const;

    const http_request& request() const override { return *this->current_request; }
    std::shared_ptr<const http_request> shared_request() const override
    {
        return this->current_request;
    }
    std::uint64_t connection() const override { return this->number; }
    bool has_responded() const override { return this->responded; }
    state::time_point received_at() const override { return this->arrival; }
    void on_client_closed(std::function<void()> callback) override;
    bool client_has_closed() override;
    boost::asio::awaitable<void> respond(http_response response) override;
    boost::asio::awaitable<void> begin_stream(http_response head) override;
    boost::asio::awaitable<void> write_piece(std::string piece) override;
    boost::asio::awaitable<void> end_stream() override;

private:
    /// Why a request is answered without its handler.
    struct refused_request
    {
        state::error error;
        unsigned status = 0;
        std::optional<state::milliseconds> retry_after;
        protocol::run_state run = protocol::run_state::not_run;
    };

    /// Serves one request. Returns whether the connection stays open for another one.
    boost::asio::awaitable<bool> serve_one();
    /// Reads the first bytes of a request.
    boost::asio::awaitable<void> wait_for_request(boost::system::error_code& failure);
    /// Reads one request within its timeout. Sets `refused` if the request is to be
    /// refused for another reason than `failure`.
    boost::asio::awaitable<void> receive(boost::system::error_code& failure);
    boost::asio::awaitable<void> read_head(request_parser& parser,
                                           boost::system::error_code& failure);
    boost::asio::awaitable<void> read_body(request_parser& parser,
                                           boost::system::error_code& failure);
    /// Refuses a request because of its head. Sets `refused`.
    void check_head(const request_parser& parser);
    /// Reserves more memory for a body of unknown size. Sets `refused` if that fails.
    boost::asio::awaitable<void> extend_body(request_parser& parser);
    /// Waits for a short time until a reservation has room. Sets `refused` if it has
    /// none.
    boost::asio::awaitable<void> reserve(memory_reservation& reservation,
                                         std::size_t bytes);
    /// Room that a reservation needs to hold `bytes`, with what is kept free.
    std::size_t needed(const memory_reservation& reservation, std::size_t bytes) const;
    bool try_reserve(memory_reservation& reservation, std::size_t bytes);
    static const std::shared_ptr<const http_request>& no_request();
    static refused_request make_refusal(const state::error& failure);
    refused_request no_memory(const memory_reservation& reservation, std::size_t bytes);
    boost::asio::awaitable<void> send_continue(boost::system::error_code& failure);
    void start_timeout(state::milliseconds duration);
    boost::asio::awaitable<bool> call_handler();
    boost::asio::awaitable<bool> respond_error(const refused_request& refusal);
    boost::asio::awaitable<void>
    refuse_bad_request(const boost::system::error_code& failure);
    refused_request bad_request_error(const boost::system::error_code& failure) const;
    /// Reads and drops what the client still sends, so that it receives the response: a
    /// connection that is closed with unread bytes is reset.
    boost::asio::awaitable<void> drop_unread();
    /// Releases the request and its memory.
    void end_request();
    void leave_idle();
    void prepare_head(http_response& head);

    std::shared_ptr<http_server_state> shared;
    /// Limits of the present request: those in force when its first byte arrived.
    std::shared_ptr<const http_server_limits> limits;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    boost::asio::steady_timer timer;
    std::shared_ptr<read_timeout> timeout = std::make_shared<read_timeout>();
    std::shared_ptr<close_watch> watch = std::make_shared<close_watch>();
    state::time_point arrival{};
    state::time_point idle_since{};
    state::time_point idle_until{};
    memory_reservation connection_memory;
    memory_reservation request_memory;
    memory_reservation body_memory;
    /// Never null.
    std::shared_ptr<const http_request> current_request = no_request();
    receive_progress received;
    std::optional<refused_request> refused;
    std::optional<std::list<http_session*>::iterator> idle_place;
    std::uint64_t number;
    bool responded = false;
    bool keep_alive = true;
    bool gave_way = false;
    bool waits_for_memory = false;
    bool is_open_ended = false;
    /// Whether the connection has received a byte of a request.
    bool has_received_bytes = false;
    std::optional<in_flight_guard> first_request_guard;
};

} // namespace pomelorouter::transport::internal
