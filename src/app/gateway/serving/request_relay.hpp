#pragma once

#include "app/gateway/serving/gateway_state.hpp"
#include "app/gateway/serving/request_dialect.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace pomelorouter::app
{

/// Forwards callers' requests to backend servers.
class request_relay : public transport::http_handler
{
public:
    request_relay(gateway_state& gateway, const request_dialect& platform_dialect,
                  transport::http_client& backend_client);

    boost::asio::awaitable<void> handle(transport::http_exchange& exchange) override;
    std::optional<state::error>
    refuse_head(const transport::http_request& head) const override;

private:
    gateway_state& shared;
    const request_dialect& dialect;
    transport::http_client& client;
};

} // namespace pomelorouter::app
