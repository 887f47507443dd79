#pragma once

#include "transport/http_server.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace pomelorouter::tools
{

/// A plain service that counts how often it ran each order, by idempotency key.
class service_handler : public transport::http_handler
{
public:
    boost::asio::awaitable<void> handle(transport::http_exchange& exchange) override;

private:
    std::map<std::string, std::int64_t> runs;
};

} // namespace pomelorouter::tools
