#pragma once

#include "protocol/peer_messages.hpp"

#include <cstdint>
#include <string>

namespace pomelorouter::transport
{

/// Message received from a peer.
struct peer_delivery
{
    /// Identifies the connection on which an answer is sent.
    std::uint64_t connection = 0;
    /// Whether the peer opened the connection and therefore expects an answer on it.
    bool needs_answer = false;
    protocol::peer_envelope envelope;
};

/// Sends messages to peers. A message that cannot be sent is dropped, since every message
/// is either repeated by its sender or requested again by its receiver.
class peer_sender
{
public:
    virtual ~peer_sender() = default;

    /// Sends a message to the peer at `address` (`ip:port`).
    virtual void send(std::string address, protocol::peer_envelope envelope) = 0;
    /// Sends a message on the connection of a received `peer_delivery`.
    virtual void answer(std::uint64_t connection, protocol::peer_envelope envelope) = 0;
};

} // namespace pomelorouter::transport
