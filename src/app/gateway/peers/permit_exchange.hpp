#pragma once

#include "app/gateway/peers/peer_gossip.hpp"
#include "app/gateway/serving/gateway_state.hpp"
#include "coordination/permit_issuer.hpp"
#include "protocol/send_permit.hpp"
#include "state/counters.hpp"
#include "transport/http_client.hpp"

#include <string>
#include <string_view>

namespace pomelorouter::app
{

/// Requests permits for backend servers with a limit from the gateways that issue them,
/// and issues those of this gateway.
class permit_exchange
{
public:
    permit_exchange(gateway_state& gateway, transport::http_client& client,
                    const peer_gossip& gateway_peers, state::counter_registry& counters);

    /// Sends the requests for permits that are due.
    void request_permits();
    /// Returns the encoded response to an encoded request of another gateway. Throws
    /// `state::error`.
    std::string respond(std::string_view body);
    /// Follows changes of the gateways that share the permits.
    void tick();

private:
    protocol::permit_grant issue(protocol::permit_request request);
    boost::asio::awaitable<void> fetch(std::string address,
                                       protocol::permit_request request);

    gateway_state& shared;
    transport::http_client& client;
    const peer_gossip& peers;
    coordination::permit_issuer issuer;
    state::counter& issued;
    state::counter& refused;
};

} // namespace pomelorouter::app
