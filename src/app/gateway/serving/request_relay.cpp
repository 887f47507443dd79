#include "app/gateway/serving/request_relay.hpp"

#include "app/gateway/serving/relayed_request.hpp"

namespace pomelorouter::app
{

request_relay::request_relay(gateway_state& gateway,
                             const request_dialect& platform_dialect,
                             transport::http_client& backend_client)
    : shared(gateway), dialect(platform_dialect), client(backend_client)
{
}

boost::asio::awaitable<void> request_relay::handle(transport::http_exchange& exchange)
{
    relayed_request request(this->shared, this->dialect, this->client, exchange);
    co_await request.run();
}

} // namespace pomelorouter::app
