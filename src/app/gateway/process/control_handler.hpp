#pragma once

#include "app/gateway/peers/peer_gossip.hpp"
#include "app/gateway/peers/permit_exchange.hpp"
#include "app/gateway/peers/stream_origin_exchange.hpp"
#include "app/gateway/serving/request_dialect.hpp"
#include "app/gateway/store/backend_watcher.hpp"
#include "app/gateway/store/config_watcher.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace pomelorouter::app
{

/// Serves the control address for other gateways and operators: known gateways, the
/// configuration, the list of backend servers, permits, origins of streams, explanations
/// and metrics.
class control_handler : public transport::http_handler
{
public:
    control_handler(gateway_state& gateway, const peer_gossip& gateway_peers,
                    const config_watcher& config_state, backend_watcher& backend_state,
                    permit_exchange& permits, const stream_origin_exchange& origins,
                    const request_dialect& request_format,
                    transport::http_client& backend_client);

    boost::asio::awaitable<void> handle(transport::http_exchange& exchange) override;

private:
    boost::asio::awaitable<void> explain_request(transport::http_exchange& exchange);

    gateway_state& shared;
    const peer_gossip& peers;
    const config_watcher& config;
    backend_watcher& backends;
    permit_exchange& permits;
    const stream_origin_exchange& origins;
    const request_dialect& dialect;
    transport::http_client& client;
};

} // namespace pomelorouter::app
