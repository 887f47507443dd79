#include "transport/http_session.hpp"

#include "protocol/refusal.hpp"
#include "state/error.hpp"
#include "state/log.hpp"
#include "transport/background_task.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace pomelorouter::transport::internal
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using state::milliseconds;
using state::now;

namespace
{

/// A request waits this long for memory before it is refused.
constexpr milliseconds memory_wait{500};
/// A waiting request looks this often for senders that have come to stand still.
constexpr milliseconds room_check_period{100};
/// `Retry-After` of a request that got no memory.
constexpr milliseconds memory_retry_after{1000};
/// Maximum time for which a client's bytes are dropped after an early response.
constexpr milliseconds drop_time{2000};
/// A read buffer that grew beyond this is released after the request.
constexpr std::size_t max_idle_buffer_bytes = 16 * 1024;
/// First reservation of a body of unknown size that is not small. Later ones double it.
constexpr std::size_t first_large_reservation_bytes = 256 * 1024;
constexpr double ms_per_s = 1000.0;

std::size_t count_fields(const http_request& request)
{
    return static_cast<std::size_t>(std::distance(request.begin(), request.end()));
}

/// Rejects ambiguous framing, which two HTTP implementations may parse differently.
void check_framing(const http_request& head, boost::system::error_code& failure)
{
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

bool is_disconnect(const boost::system::error_code& failure)
{
    return failure == http::error::end_of_stream ||
           failure == asio::error::connection_reset ||
           failure == asio::error::operation_aborted;
}

} // namespace

http_session::http_session(std::shared_ptr<http_server_state> server,
                           asio::ip::tcp::socket socket, memory_reservation memory)
    : shared(std::move(server)),
      limits(shared->limits),
      stream(std::move(socket)),
      timer(this->shared->loop),
      connection_memory(std::move(memory)),
      request_memory(this->shared->memory, this->shared->request_use),
      body_memory(this->shared->memory, this->shared->large_body_use),
      number(++this->shared->last_connection_number)
{
    this->shared->sessions.insert(this);
    this->shared->open_connections.set(
        static_cast<std::int64_t>(this->shared->sessions.size()));
}

http_session::~http_session()
{
    this->timeout->active = false;
    this->watch->callback = nullptr;
    this->leave_idle();
    this->shared->receiving.erase(this);
    this->shared->sessions.erase(this);
    this->shared->open_connections.set(
        static_cast<std::int64_t>(this->shared->sessions.size()));
}

asio::awaitable<void> http_session::run()
{
    bool keep_open = true;
    while (keep_open)
        keep_open = co_await this->serve_one();
    boost::system::error_code ignored;
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void http_session::count_until_first_request()
{
    if (!this->has_received_bytes)
        this->first_request_guard.emplace(this->shared->in_flight);
}

bool http_session::has_unread_bytes()
{
    boost::system::error_code failure;
    return this->stream.socket().available(failure) > 0 && !failure;
}

void http_session::close_idle()
{
    this->leave_idle();
    this->connection_memory.release();
    this->stream.close();
}

/// A client may count on the earlier timeout until it learns of a lowered one, which
/// therefore begins with the change.
void http_session::on_idle_timeout_changed()
{
    const milliseconds limit = this->shared->limits->idle_timeout;
    this->idle_until =
        std::max(this->idle_since + limit, std::min(this->idle_until, now() + limit));
    this->start_timeout(std::chrono::ceil<milliseconds>(this->idle_until - now()));
}

void http_session::give_way()
{
    this->gave_way = true;
    this->stream.cancel();
}

std::size_t http_session::held(memory_use use) const
{
    std::size_t sum = 0;
    for (const memory_reservation* const part :
         {&this->request_memory, &this->body_memory})
    {
        if (part->use() == use)
            sum += part->bytes();
    }
    return sum;
}

void http_session::on_client_closed(std::function<void()> callback)
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
            // The callback is cleared when the handler returns and when the session ends.
            if (!shared_watch->callback || failure == asio::error::operation_aborted)
                return;
            if (!this->client_has_closed())
                return;
            const auto notify = std::exchange(shared_watch->callback, nullptr);
            notify();
        });
}

bool http_session::client_has_closed()
{
    std::array<char, 1> byte{};
    boost::system::error_code failure;
    this->stream.socket().non_blocking(true, failure);
    const std::size_t size = this->stream.socket().receive(
        asio::buffer(byte), asio::socket_base::message_peek, failure);
    return size == 0 && failure != asio::error::would_block;
}

asio::awaitable<void> http_session::respond(http_response response)
{
    this->prepare_head(response);
    response.prepare_payload();
    this->stream.expires_after(this->limits->io_timeout);
    co_await http::async_write(this->stream, response, asio::use_awaitable);
}

asio::awaitable<void> http_session::begin_stream(http_response head)
{
    this->prepare_head(head);
    http::response<http::empty_body> empty{std::move(head.base())};
    empty.chunked(true);
    http::response_serializer<http::empty_body> serializer{empty};
    this->stream.expires_after(this->limits->io_timeout);
    co_await http::async_write_header(this->stream, serializer, asio::use_awaitable);
}

asio::awaitable<void> http_session::write_piece(std::string piece)
{
    this->stream.expires_after(this->limits->io_timeout);
    co_await asio::async_write(this->stream, http::make_chunk(asio::buffer(piece)),
                               asio::use_awaitable);
}

asio::awaitable<void> http_session::end_stream()
{
    this->stream.expires_after(this->limits->io_timeout);
    co_await asio::async_write(this->stream, http::make_chunk_last(),
                               asio::use_awaitable);
}

asio::awaitable<bool> http_session::serve_one()
{
    this->responded = false;
    boost::system::error_code failure;
    if (this->buffer.size() == 0)
    {
        co_await this->wait_for_request(failure);
        if (failure)
            co_return false;
    }
    const in_flight_guard guard(this->shared->in_flight);
    this->has_received_bytes = true;
    this->first_request_guard.reset();
    this->arrival = now();
    this->limits = this->shared->limits;
    this->refused.reset();
    this->received.start(this->arrival, 0, milliseconds(0));
    this->shared->receiving.insert(this);
    co_await this->receive(failure);
    this->shared->receiving.erase(this);
    if (failure || this->refused)
    {
        this->end_request();
        co_await this->refuse_bad_request(failure);
        co_return false;
    }
    this->shared->requests.add();
    this->stream.expires_never();
    const bool completed = co_await this->call_handler();
    this->watch->callback = nullptr;
    this->end_request();
    co_return completed&& this->keep_alive;
}

asio::awaitable<void> http_session::wait_for_request(boost::system::error_code& failure)
{
    constexpr std::size_t read_bytes = 4096;
    this->idle_place = this->shared->idle.insert(this->shared->idle.end(), this);
    this->idle_since = now();
    this->idle_until = this->idle_since + this->shared->limits->idle_timeout;
    // The timeout of the stream cannot be changed during a read.
    this->stream.expires_never();
    this->start_timeout(this->shared->limits->idle_timeout);
    // An asynchronous read would take the bytes of a request before the session
    // continues, and the connection would seem to have none and be closed as idle.
    asio::ip::tcp::socket& socket = this->stream.socket();
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    do
    {
        co_await socket.async_wait(asio::socket_base::wait_read,
                                   asio::redirect_error(asio::use_awaitable, failure));
        if (!failure)
            this->buffer.commit(
                socket.read_some(this->buffer.prepare(read_bytes), failure));
    } while (failure == asio::error::would_block);
    this->leave_idle();
    this->timeout->active = false;
    this->timer.cancel();
}

/// The timeout of the stream is not used, since it closes the socket and the server could
/// not send the error to a slow client.
asio::awaitable<void> http_session::receive(boost::system::error_code& failure)
{
    this->stream.expires_never();
    if (!this->request_memory.resize(request_bytes))
        co_await this->reserve(this->request_memory, request_bytes);
    if (this->refused)
        co_return;
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(this->limits->max_header_bytes));
    parser.body_limit(this->limits->max_body_bytes);
    // The parser itself does not limit chunk extensions and trailers.
    this->buffer.max_size(this->limits->max_header_bytes + read_buffer_bytes);
    co_await this->read_head(parser, failure);
    if (!failure && !this->gave_way)
        this->check_head(parser);
    if (!failure && !this->gave_way && !this->refused && !parser.is_done())
        co_await this->read_body(parser, failure);
    this->timeout->active = false;
    this->timer.cancel();
    if (this->gave_way && !this->refused)
    {
        failure = {};
        this->refused = this->no_memory(this->body_memory, this->body_memory.bytes());
    }
    if (failure && this->timeout->expired)
        failure = beast::error::timeout;
    if (!failure && !this->refused)
        this->current_request = std::make_shared<const http_request>(parser.release());
}

asio::awaitable<void> http_session::read_head(request_parser& parser,
                                              boost::system::error_code& failure)
{
    this->start_timeout(this->limits->header_timeout.count() > 0
                            ? this->limits->header_timeout
                            : this->limits->io_timeout);
    co_await http::async_read_header(this->stream, this->buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, failure));
    this->timer.cancel();
    if (!failure)
        check_framing(parser.get(), failure);
}

void http_session::check_head(const request_parser& parser)
{
    const http_request& head = parser.get();
    if (count_fields(head) > this->limits->max_header_fields)
    {
        constexpr unsigned header_fields_too_large = 431;
        this->refused.emplace(refused_request{
            {state::error_code::too_large, "header",
             "at most " + std::to_string(this->limits->max_header_fields) + " fields"},
            header_fields_too_large,
            std::nullopt});
        return;
    }
    // Small bodies are read, so that the connection can carry the next request.
    const bool is_small = parser.content_length_remaining().value_or(
                              small_body_bytes + 1) <= small_body_bytes;
    if (parser.is_done() || is_small)
        return;
    const auto refusal = this->shared->handler.refuse_head(head);
    if (refusal)
        this->refused = make_refusal(*refusal);
}

const std::shared_ptr<const http_request>& http_session::no_request()
{
    static const auto empty = std::make_shared<const http_request>();
    return empty;
}

http_session::refused_request http_session::make_refusal(const state::error& failure)
{
    return {failure, protocol::status_of(failure.code()), std::nullopt};
}

asio::awaitable<void> http_session::extend_body(request_parser& parser)
{
    std::string& body = parser.get().body();
    const std::size_t needed = body.size() + read_buffer_bytes;
    const bool is_small = needed <= small_body_bytes + read_buffer_bytes;
    if (is_small || needed <= body.capacity())
        co_return;
    const std::size_t capacity =
        std::min(std::max(first_large_reservation_bytes, 2 * body.capacity()),
                 this->limits->max_body_bytes + read_buffer_bytes);
    this->is_open_ended = true;
    co_await this->reserve(this->body_memory, body_cost(capacity));
    if (!this->refused)
        body.reserve(capacity);
}

asio::awaitable<void> http_session::read_body(request_parser& parser,
                                              boost::system::error_code& failure)
{
    const std::size_t length =
        parser.content_length_remaining().value_or(small_body_bytes);
    const bool is_small = length <= small_body_bytes;
    memory_reservation& memory = is_small ? this->request_memory : this->body_memory;
    const std::size_t cost = body_cost(length) + (is_small ? request_bytes : 0);
    co_await this->reserve(memory, cost);
    if (this->refused)
        co_return;
    const std::size_t fields = count_fields(parser.get());
    const milliseconds limit = this->limits->io_timeout;
    this->received.start(now(), parser.content_length_remaining().value_or(0), limit);
    this->start_timeout(limit);
    if (beast::iequals(parser.get()[http::field::expect], "100-continue"))
        co_await this->send_continue(failure);
    while (!failure && !this->gave_way && !parser.is_done())
    {
        if (parser.chunked())
            co_await this->extend_body(parser);
        if (this->refused)
            co_return;
        const std::size_t size = co_await http::async_read_some(
            this->stream, this->buffer, parser,
            asio::redirect_error(asio::use_awaitable, failure));
        this->received.on_received(now(), size);
    }
    // Fields of a trailer have not passed the checks of the header.
    if (!failure && parser.is_done() && count_fields(parser.get()) != fields)
        failure = http::error::bad_field;
}

std::size_t http_session::needed(const memory_reservation& reservation,
                                 std::size_t bytes) const
{
    return bytes - reservation.bytes() +
           this->shared->kept_free(*this, reservation.use(), bytes);
}

bool http_session::try_reserve(memory_reservation& reservation, std::size_t bytes)
{
    if (!this->shared->memory)
        return true;
    const memory_budget& budget = *this->shared->memory;
    const memory_use use = reservation.use();
    const std::size_t more = this->needed(reservation, bytes);
    while (budget.missing(use, more) > 0)
    {
        // Idle connections hold memory of their own use, so closing them does not help a
        // use whose own part is full.
        const bool has_own_part = budget.held(use) + more <= budget.limit(use);
        if (!has_own_part || !this->shared->close_longest_idle())
            return false;
    }
    return reservation.resize(bytes);
}

asio::awaitable<void> http_session::reserve(memory_reservation& reservation,
                                            std::size_t bytes)
{
    const state::time_point deadline = now() + memory_wait;
    this->waits_for_memory = true;
    while (!this->try_reserve(reservation, bytes))
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - now());
        if (left.count() <= 0 ||
            !this->shared->memory->can_ever_take(reservation.use(), bytes))
        {
            this->refused = this->no_memory(reservation, bytes);
            break;
        }
        const memory_use use = reservation.use();
        this->shared->make_room(
            use, this->shared->memory->missing(use, this->needed(reservation, bytes)));
        co_await this->shared->memory_released.wait(std::min(left, room_check_period));
    }
    this->waits_for_memory = false;
    // The sender could not send while the server did not read.
    this->received.resume(now());
}

http_session::refused_request
http_session::no_memory(const memory_reservation& reservation, std::size_t bytes)
{
    constexpr unsigned service_unavailable = 503;
    this->shared->refused_for_memory.add();
    state::log_event(state::log_level::info, "memory_refusal")
        .field("use", to_string(reservation.use()))
        .field("bytes", static_cast<std::uint64_t>(bytes))
        .field("late", this->gave_way);
    return {
        {state::error_code::overloaded, "memory", "the memory for requests is in use"},
        service_unavailable,
        memory_retry_after};
}

asio::awaitable<void> http_session::send_continue(boost::system::error_code& failure)
{
    static constexpr std::string_view answer = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(this->stream, asio::buffer(answer),
                               asio::redirect_error(asio::use_awaitable, failure));
}

void http_session::start_timeout(milliseconds duration)
{
    this->timeout->active = true;
    this->timeout->expired = false;
    const std::uint64_t number_of_wait = ++this->timeout->wait_number;
    this->timer.expires_after(duration);
    this->timer.async_wait(
        [this, shared_timeout = this->timeout, number_of_wait](boost::system::error_code)
        {
            // The timer may fire after what it limits or after the session.
            if (!shared_timeout->active || shared_timeout->wait_number != number_of_wait)
                return;
            shared_timeout->expired = true;
            this->stream.cancel();
        });
}

asio::awaitable<bool> http_session::call_handler()
{
    std::optional<state::error> failed;
    protocol::run_state run = protocol::run_state::not_run;
    try
    {
        co_await this->shared->handler.handle(*this);
    }
    catch (const state::error& failure)
    {
        failed = failure;
    }
    catch (const boost::system::system_error&)
    {
        co_return false; // the client has closed the connection
    }
    catch (...)
    {
        // An unexpected error of one request must not affect the others.
        log_current_exception("request");
        failed.emplace(state::error_code::internal, "request", "no internal error");
        run = protocol::run_state::unknown;
    }
    if (!failed)
        co_return this->responded;
    // A response that has begun can only be aborted; the client detects this by the
    // missing last chunk.
    if (this->responded)
        co_return false;
    this->refused = make_refusal(*failed);
    this->refused->run = run;
    co_return co_await this->respond_error(*this->refused);
}

asio::awaitable<bool> http_session::respond_error(const refused_request& refusal)
{
    try
    {
        protocol::refusal body(refusal.error);
        body.retry_after = refusal.retry_after;
        body.run = refusal.run;
        http_response response =
            json_response(static_cast<http::status>(refusal.status), body.to_json());
        if (refusal.retry_after)
        {
            response.set(
                http::field::retry_after,
                std::to_string(static_cast<double>(refusal.retry_after->count()) /
                               ms_per_s));
        }
        co_await this->respond(std::move(response));
    }
    catch (const boost::system::system_error&)
    {
        co_return false;
    }
    co_return true;
}

asio::awaitable<void>
http_session::refuse_bad_request(const boost::system::error_code& failure)
{
    if (!this->refused && is_disconnect(failure))
        co_return;
    this->shared->bad_requests.add();
    this->keep_alive = false;
    if (!this->refused)
        this->refused = this->bad_request_error(failure);
    const bool responded_whole = co_await this->respond_error(*this->refused);
    if (responded_whole)
        co_await this->drop_unread();
}

http_session::refused_request
http_session::bad_request_error(const boost::system::error_code& failure) const
{
    using state::error_code;
    if (failure == http::error::body_limit)
    {
        return {{error_code::too_large, "body",
                 "at most " + std::to_string(this->limits->max_body_bytes) + " bytes"},
                413,
                std::nullopt};
    }
    if (failure == http::error::header_limit)
    {
        return {{error_code::too_large, "header",
                 "at most " + std::to_string(this->limits->max_header_bytes) + " bytes"},
                431,
                std::nullopt};
    }
    if (failure == beast::error::timeout)
    {
        return {{error_code::timed_out, "request",
                 "the whole request within " +
                     std::to_string(this->limits->io_timeout.count()) + " ms"},
                408,
                std::nullopt};
    }
    return {
        {error_code::malformed_frame, "request", failure.message()}, 400, std::nullopt};
}

asio::awaitable<void> http_session::drop_unread()
{
    boost::system::error_code failure;
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failure);
    this->stream.expires_after(drop_time);
    std::size_t left = this->limits->max_body_bytes;
    while (!failure && left > 0)
    {
        const std::size_t size = co_await this->stream.async_read_some(
            asio::buffer(this->shared->dropped_bytes),
            asio::redirect_error(asio::use_awaitable, failure));
        left -= std::min(left, size);
    }
}

void http_session::end_request()
{
    this->current_request = no_request();
    if (this->buffer.size() == 0 && this->buffer.capacity() > max_idle_buffer_bytes)
        this->buffer.shrink_to_fit();
    this->is_open_ended = false;
    this->body_memory.release();
    this->request_memory.release();
    this->shared->memory_released.notify();
}

void http_session::leave_idle()
{
    if (!this->idle_place)
        return;
    this->shared->idle.erase(*this->idle_place);
    this->idle_place.reset();
}

void http_session::prepare_head(http_response& head)
{
    this->keep_alive =
        this->keep_alive && this->current_request->keep_alive() && !this->shared->closing;
    head.keep_alive(this->keep_alive);
    this->responded = true;
}

} // namespace pomelorouter::transport::internal
