#include "transport/peer_connection.hpp"

#include "protocol/peer_codec.hpp"
#include "state/error.hpp"
#include "state/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace pomelorouter::transport
{

namespace asio = boost::asio;

namespace
{

// At one heartbeat and one answer per second the queue covers a stall of several seconds.
constexpr std::size_t max_queued_frames = 16;
// In a large cluster two given nodes exchange messages only every few minutes.
constexpr state::milliseconds idle_timeout{600000};
constexpr state::milliseconds body_timeout{10000};

} // namespace

peer_counters::peer_counters(state::counter_registry& registry)
    : frames_sent(registry.count("peer_frames_sent_total", "frames sent to peers")),
      bytes_sent(registry.count("peer_bytes_sent_total",
                                "bytes of frames sent to peers, without headers")),
      frames_received(
          registry.count("peer_frames_received_total", "frames received from peers")),
      frames_dropped(registry.count("peer_frames_dropped_total",
                                    "frames not sent because there was no connection")),
      broken_frames(
          registry.count("peer_broken_frames_total", "frames that could not be read")),
      queue_overflows(
          registry.count("peer_queue_overflows_total",
                         "connections closed because their send queue was full")),
      silent_connections(registry.count("peer_silent_connections_total",
                                        "connections closed because no answer came back"))
{
}

peer_connection::peer_connection(asio::io_context& event_loop, std::uint64_t number,
                                 peer_counters& counter_set, message_handler on_message)
    : loop(event_loop),
      socket(event_loop),
      read_deadline(event_loop),
      id(number),
      counters(counter_set),
      handle(std::move(on_message))
{
}

void peer_connection::accept(asio::ip::tcp::socket opened, close_handler on_close)
{
    this->socket = std::move(opened);
    this->closed_handler = std::move(on_close);
    this->connected = true;
    asio::co_spawn(this->loop, run(this->shared_from_this()), asio::detached);
}

void peer_connection::connect(const asio::ip::tcp::endpoint& target)
{
    this->outgoing = true;
    asio::co_spawn(this->loop, run_outgoing(this->shared_from_this(), target),
                   asio::detached);
}

void peer_connection::send(std::string frame)
{
    if (this->closed)
        return;
    if (this->queue.size() >= max_queued_frames)
    {
        this->counters.queue_overflows.add();
        this->close();
        return;
    }
    if (this->outgoing && !this->unanswered)
        this->unanswered = std::chrono::steady_clock::now();
    this->queue.push_back(std::move(frame));
    this->start_writing();
}

void peer_connection::close()
{
    if (std::exchange(this->closed, true))
        return;
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->read_deadline.cancel();
    if (this->closed_handler)
        std::exchange(this->closed_handler, nullptr)();
}

asio::awaitable<void> peer_connection::run_outgoing(std::shared_ptr<peer_connection> self,
                                                    asio::ip::tcp::endpoint target)
{
    boost::system::error_code failure;
    co_await self->socket.async_connect(
        target, asio::redirect_error(asio::use_awaitable, failure));
    if (failure || self->closed)
    {
        self->close();
        co_return;
    }
    self->connected = true;
    self->start_writing();
    co_await run(self);
}

asio::awaitable<void> peer_connection::run(std::shared_ptr<peer_connection> self)
{
    boost::system::error_code ignored;
    self->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    while (!self->closed)
    {
        try
        {
            co_await self->read_frame();
        }
        catch (const state::error& failure)
        {
            // The start of the next frame cannot be found after an invalid one.
            self->counters.broken_frames.add();
            state::log_event(state::log_level::warning, "peer_frame_broken")
                .field("error", failure.what());
            self->close();
        }
    }
}

asio::awaitable<void> peer_connection::read_frame()
{
    protocol::peer_frame_header header{};
    if (!co_await this->read_into(header.data(), header.size(), idle_timeout))
        co_return;
    std::string body(protocol::decode_peer_header(header), '\0');
    if (!co_await this->read_into(body.data(), body.size(), body_timeout))
        co_return;
    this->deliver(body);
}

asio::awaitable<bool> peer_connection::read_into(char* data, std::size_t size,
                                                 state::milliseconds timeout)
{
    this->read_deadline.expires_after(timeout);
    this->read_deadline.async_wait(
        [weak = this->weak_from_this()](boost::system::error_code failure)
        {
            const auto self = weak.lock();
            if (!failure && self)
                self->close();
        });
    boost::system::error_code failure;
    co_await asio::async_read(this->socket, asio::buffer(data, size),
                              asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        this->close();
    co_return !failure && !this->closed;
}

void peer_connection::deliver(const std::string& body)
{
    peer_delivery message;
    message.connection = this->id;
    message.needs_answer = !this->outgoing;
    message.envelope = protocol::decode_peer_body(body);
    this->received = true;
    this->unanswered.reset();
    this->counters.frames_received.add();
    this->handle(std::move(message));
}

void peer_connection::start_writing()
{
    if (!this->connected || this->writing || this->queue.empty())
        return;
    this->writing = true;
    asio::co_spawn(this->loop, write_queue(this->shared_from_this()), asio::detached);
}

asio::awaitable<void> peer_connection::write_queue(std::shared_ptr<peer_connection> self)
{
    while (!self->closed && !self->queue.empty())
    {
        // The frame stays in the queue while it is written, so that it counts towards
        // max_queued_frames.
        boost::system::error_code failure;
        const std::string& frame = self->queue.front();
        co_await asio::async_write(self->socket, asio::buffer(frame),
                                   asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
        {
            self->close();
            break;
        }
        self->counters.frames_sent.add();
        self->counters.bytes_sent.add(static_cast<std::int64_t>(frame.size()));
        self->queue.pop_front();
    }
    self->writing = false;
}

} // namespace pomelorouter::transport
