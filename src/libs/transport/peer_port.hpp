#pragma once

#include "protocol/peer_messages.hpp"

#include <cstdint>
#include <string>

namespace pomelorouter::transport
{

/// A message from a peer.
struct peer_delivery
{
    /// The connection that an answer goes to.
    std::uint64_t connection = 0;
    /// Whether the peer opened the connection, and therefore expects an answer on it.
    bool needs_answer = false;
    protocol::peer_envelope envelope;
};

/// Sends messages to peers. A message that cannot be sent is dropped: all of them are
/// repeated or asked for again.
class peer_port
{
public:
    virtual ~peer_port() = default;

    virtual void send(std::string address, protocol::peer_envelope envelope) = 0;
    virtual void answer(std::uint64_t connection, protocol::peer_envelope envelope) = 0;
};

} // namespace pomelorouter::transport
