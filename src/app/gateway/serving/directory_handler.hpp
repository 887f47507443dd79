#pragma once

#include "app/gateway/serving/gateway_state.hpp"
#include "app/gateway/serving/request_dialect.hpp"
#include "transport/http_server.hpp"

#include <functional>
#include <string>
#include <vector>

namespace pomelorouter::app
{

/// A gateway that callers may connect to.
struct gateway_address
{
    std::string address;
    std::string zone;
};

/// Serves address queries of callers and readiness checks.
class directory_handler : public transport::http_handler
{
public:
    /// Returns the ready gateways, including this one if it is ready.
    using address_source = std::function<std::vector<gateway_address>()>;
    using readiness_source = std::function<bool()>;

    directory_handler(gateway_state& gateway, const directory_dialect& platform_dialect,
                      address_source list_addresses, readiness_source check_ready);

    boost::asio::awaitable<void> handle(transport::http_exchange& exchange) override;

private:
    transport::http_response make_response(const transport::http_request& request) const;

    gateway_state& shared;
    const directory_dialect& dialect;
    address_source addresses;
    readiness_source is_ready;
};

/// Chooses the addresses for a caller in `zone`: those in its availability zone if there
/// are at least two, otherwise all.
std::vector<std::string> choose_addresses(const std::vector<gateway_address>& gateways,
                                          const std::string& zone);

} // namespace pomelorouter::app
