#pragma once

#include "state/clock.hpp"
#include "state/counters.hpp"
#include "transport/peer_sender.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pomelorouter::transport
{

/// Counters of all connections to peers.
struct peer_counters
{
    explicit peer_counters(state::counter_registry& counters);

    state::counter& frames_sent;
    state::counter& bytes_sent;
    state::counter& frames_received;
    state::counter& frames_dropped;
    state::counter& broken_frames;
    state::counter& queue_overflows;
    state::counter& silent_connections;
};

/// TCP connection that carries frames in both directions. All calls must be made on the
/// thread of its event loop. `counters` must outlive it.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    using message_handler = std::function<void(peer_delivery)>;
    using close_handler = std::function<void()>;

    peer_connection(boost::asio::io_context& loop, std::uint64_t id,
                    peer_counters& counters, message_handler on_message);

    /// Serves a connection that a peer has opened; calls `on_close` once when it closes.
    void accept(boost::asio::ip::tcp::socket opened, close_handler on_close);
    /// Connects to a peer. Frames that are queued earlier are sent once the connection is
    /// established.
    void connect(const boost::asio::ip::tcp::endpoint& target);
    /// Queues a frame. Closes the connection if the queue is full.
    void send(std::string frame);
    void close();

    bool is_open() const { return !this->closed; }
    bool has_received() const { return this->received; }
    /// Time of the first frame sent since the last one was received, or nothing if no
    /// answer is outstanding. Only for connections opened by this side.
    std::optional<state::time_point> unanswered_since() const { return this->unanswered; }

private:
    static boost::asio::awaitable<void>
    run_outgoing(std::shared_ptr<peer_connection> self,
                 boost::asio::ip::tcp::endpoint target);
    static boost::asio::awaitable<void> run(std::shared_ptr<peer_connection> self);
    static boost::asio::awaitable<void>
    write_queue(std::shared_ptr<peer_connection> self);
    boost::asio::awaitable<void> read_frame();
    boost::asio::awaitable<bool> read_into(char* data, std::size_t size,
                                           state::milliseconds timeout);
    void deliver(const std::string& body);
    void start_writing();

    boost::asio::io_context& loop;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer read_deadline;
    std::uint64_t id;
    peer_counters& counters;
    message_handler handle;
    close_handler closed_handler;
    std::deque<std::string> queue;
    std::optional<state::time_point> unanswered;
    bool outgoing = false;
    bool connected = false;
    bool writing = false;
    bool closed = false;
    bool received = false;
};

} // namespace pomelorouter::transport
