#pragma once

#include "gateway_fixture.hpp"
#include "protocol/gateway_heartbeat.hpp"
#include "raw_backend.hpp"
#include "transport/datagram_socket.hpp"

#include <cstdint>
#include <string>

namespace pomelorouter::test
{

/// Another gateway, whose heartbeats and responses to control requests are set by the
/// test. Must be created before the gateway of the fixture starts.
class scripted_peer
{
public:
    /// `capacity` decides which gateway aggregates the availability zone.
    scripted_peer(gateway_fixture& test, raw_backend::script control_reply,
                  std::int64_t capacity);

    /// Whether the gateway of the fixture has sent a heartbeat to this peer.
    bool is_known() const { return !this->gateway_address.empty(); }
    /// Returns this peer as gateways describe themselves in the store.
    std::string member_json() const;
    /// Sends `heartbeat` with the next counter. Has no effect before `is_known()`.
    void send_heartbeat();

    raw_backend control;
    /// Sent in response to each heartbeat of the gateway, and by `send_heartbeat()`.
    protocol::gateway_heartbeat heartbeat;

private:
    transport::datagram_socket socket;
    std::string gateway_address;
};

} // namespace pomelorouter::test
