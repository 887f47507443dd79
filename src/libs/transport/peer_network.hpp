#pragma once

#include "transport/peer_connection.hpp"
#include "transport/peer_sender.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace pomelorouter::transport
{

/// TCP server and outgoing connections between nodes, on one event loop. `send()` and
/// `answer()` may be called on any thread.
class peer_network : public peer_sender
{
public:
    /// `on_message` is called on the thread of `loop`.
    peer_network(boost::asio::io_context& loop,
                 peer_connection::message_handler on_message,
                 state::counter_registry& counters);
    ~peer_network() override;
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    /// Starts to accept connections on `ip:port` and returns the bound address. Throws
    /// `state::error` that names the address.
    std::string listen(const std::string& address);
    void send(std::string address, protocol::peer_envelope envelope) override;
    void answer(std::uint64_t connection, protocol::peer_envelope envelope) override;

private:
    struct shared_state;

    static boost::asio::awaitable<void> accept_loop(std::shared_ptr<shared_state> shared);

    std::shared_ptr<shared_state> shared;
};

} // namespace pomelorouter::transport
