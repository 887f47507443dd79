#include "transport/peer_network.hpp"

#include "protocol/peer_codec.hpp"
#include "state/error.hpp"
#include "state/log.hpp"
#include "transport/address.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace pomelorouter::transport
{

namespace asio = boost::asio;

namespace
{

// Twice the largest planned number of nodes, since a connection and its replacement may
// exist at the same time.
constexpr std::size_t max_incoming = 1024;
// Peers answer heartbeats immediately. If no answer arrives for longer, a device between
// the two nodes may have lost the state of the connection; a new connection may work.
constexpr state::milliseconds answer_timeout{2500};
constexpr state::milliseconds min_backoff{200};
constexpr state::milliseconds max_backoff{5000};
constexpr state::milliseconds accept_retry_delay{100};

std::optional<std::string> encode(const protocol::peer_envelope& envelope)
{
    try
    {
        return protocol::encode_peer_frame(envelope);
    }
    catch (const state::error& failure)
    {
        state::log_event(state::log_level::error, "peer_message_not_sent")
            .field("error", failure.what());
        return std::nullopt;
    }
}

} // namespace

struct peer_network::shared_state : std::enable_shared_from_this<shared_state>
{
    shared_state(asio::io_context& event_loop,
                 peer_connection::message_handler message_handler,
                 state::counter_registry& registry)
        : loop(event_loop),
          on_message(std::move(message_handler)),
          counters(registry),
          acceptor(event_loop)
    {
    }

    struct link
    {
        std::shared_ptr<peer_connection> connection;
        state::time_point next_attempt{};
        state::milliseconds backoff{0};
    };

    void send(const std::string& address, std::string frame)
    {
        link& target = this->links[address];
        const auto now = std::chrono::steady_clock::now();
        this->drop_if_silent(target, now);
        if (!target.connection || !target.connection->is_open())
            this->reconnect(address, target, now);
        if (!target.connection)
        {
            this->counters.frames_dropped.add();
            return;
        }
        target.connection->send(std::move(frame));
    }

    void drop_if_silent(link& target, state::time_point now)
    {
        if (!target.connection || !target.connection->is_open())
            return;
        const auto since = target.connection->unanswered_since();
        if (!since || now - *since < answer_timeout)
            return;
        this->counters.silent_connections.add();
        target.connection->close();
    }

    void reconnect(const std::string& address, link& target, state::time_point now)
    {
        const auto previous = std::exchange(target.connection, nullptr);
        if (previous && previous->has_received())
            target.backoff = state::milliseconds(0);
        else if (previous)
        {
            target.backoff = std::clamp(target.backoff * 2, min_backoff, max_backoff);
            target.next_attempt = now + target.backoff;
        }
        if (now < target.next_attempt)
            return;
        asio::ip::tcp::endpoint endpoint;
        try
        {
            endpoint = parse_address(address);
        }
        catch (const state::error&)
        {
            return;
        }
        target.connection = this->make_connection();
        target.connection->connect(endpoint);
    }

    std::shared_ptr<peer_connection> make_connection()
    {
        return std::make_shared<peer_connection>(this->loop, ++this->last_id,
                                                 this->counters, this->on_message);
    }

    void add_incoming(asio::ip::tcp::socket socket)
    {
        const auto connection = this->make_connection();
        const std::uint64_t id = this->last_id;
        this->incoming.emplace(id, connection);
        connection->accept(std::move(socket),
                           [weak = this->weak_from_this(), id]
                           {
                               if (const auto self = weak.lock())
                                   self->incoming.erase(id);
                           });
    }

    void answer(std::uint64_t id, std::string frame)
    {
        const auto found = this->incoming.find(id);
        if (found == this->incoming.end())
            return;
        // Holds the connection, since send() may close it and thereby remove it from the
        // map.
        const std::shared_ptr<peer_connection> connection = found->second;
        connection->send(std::move(frame));
    }

    asio::io_context& loop;
    peer_connection::message_handler on_message;
    peer_counters counters;
    asio::ip::tcp::acceptor acceptor;
    std::map<std::string, link> links;
    std::map<std::uint64_t, std::shared_ptr<peer_connection>> incoming;
    std::uint64_t last_id = 0;
};

peer_network::peer_network(asio::io_context& loop,
                           peer_connection::message_handler on_message,
                           state::counter_registry& counters)
    : shared(std::make_shared<shared_state>(loop, std::move(on_message), counters))
{
}

peer_network::~peer_network()
{
    boost::system::error_code ignored;
    this->shared->acceptor.close(ignored);
}

std::string peer_network::listen(const std::string& address)
{
    std::string bound = open_listener(this->shared->acceptor, address);
    asio::co_spawn(this->shared->loop, accept_loop(this->shared), asio::detached);
    return bound;
}

void peer_network::send(std::string address, protocol::peer_envelope envelope)
{
    asio::post(this->shared->loop,
               [state = this->shared, address = std::move(address),
                envelope = std::move(envelope)]
               {
                   auto frame = encode(envelope);
                   if (frame)
                       state->send(address, std::move(*frame));
               });
}

void peer_network::answer(std::uint64_t connection, protocol::peer_envelope envelope)
{
    asio::post(this->shared->loop,
               [state = this->shared, connection, envelope = std::move(envelope)]
               {
                   auto frame = encode(envelope);
                   if (frame)
                       state->answer(connection, std::move(*frame));
               });
}

asio::awaitable<void> peer_network::accept_loop(std::shared_ptr<shared_state> shared)
{
    while (shared->acceptor.is_open())
    {
        boost::system::error_code failure;
        asio::ip::tcp::socket socket = co_await shared->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted)
            co_return;
        if (failure)
        {
            // For example no free file descriptors: an immediate retry would spin.
            asio::steady_timer delay(shared->loop, accept_retry_delay);
            co_await delay.async_wait(asio::use_awaitable);
            continue;
        }
        if (shared->incoming.size() < max_incoming)
            shared->add_incoming(std::move(socket));
    }
}

} // namespace pomelorouter::transport
