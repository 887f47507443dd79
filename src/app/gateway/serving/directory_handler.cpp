#include "app/gateway/serving/directory_handler.hpp"

#include "protocol/refusal.hpp"
#include "state/error.hpp"

#include <utility>

namespace pomelorouter::app
{

namespace
{

/// With fewer gateways in its availability zone a caller gets all addresses, so that it
/// has another one when a gateway fails.
constexpr std::size_t min_zone_addresses = 2;
constexpr std::size_t max_addresses = 64;

} // namespace

directory_handler::directory_handler(gateway_state& gateway,
                                     const directory_dialect& platform_dialect,
                                     address_source list_addresses,
                                     readiness_source check_ready)
    : shared(gateway),
      dialect(platform_dialect),
      addresses(std::move(list_addresses)),
      is_ready(std::move(check_ready))
{
}

boost::asio::awaitable<void> directory_handler::handle(transport::http_exchange& exchange)
{
    co_await exchange.respond(this->make_response(exchange.request()));
}

transport::http_response
directory_handler::make_response(const transport::http_request& request) const
{
    if (this->dialect.is_readiness_check(request))
    {
        const bool ready = this->is_ready();
        return transport::text_response(ready ? transport::status::ok
                                              : transport::status::service_unavailable,
                                        ready ? "ready\n" : "not ready\n");
    }
    const auto query = this->dialect.read_query(request);
    if (!query)
        throw state::error(state::error_code::not_found, std::string(request.target()),
                           "expected an address query or a readiness check");
    const std::vector<std::string> chosen =
        choose_addresses(this->addresses(), query->zone);
    if (chosen.empty())
        throw state::error(state::error_code::draining, "gateways",
                           "no gateway is ready");
    return this->dialect.make_response(chosen, this->shared.settings->address_ttl);
}

std::vector<std::string> choose_addresses(const std::vector<gateway_address>& gateways,
                                          const std::string& zone)
{
    std::vector<std::string> in_zone;
    std::vector<std::string> all;
    for (const gateway_address& gateway : gateways)
    {
        if (all.size() < max_addresses)
            all.push_back(gateway.address);
        if (gateway.zone == zone && in_zone.size() < max_addresses)
            in_zone.push_back(gateway.address);
    }
    return in_zone.size() >= min_zone_addresses ? in_zone : all;
}

} // namespace pomelorouter::app
