#pragma once

#include "protocol/refusal.hpp"
#include "transport/http_server.hpp"

namespace pomelorouter::app
{

/// Sends a refusal as JSON, with its HTTP status and, if it has a retry time, the header
/// `Retry-After`.
boost::asio::awaitable<void> refuse(transport::http_exchange& exchange,
                                    const protocol::refusal& refusal);

} // namespace pomelorouter::app
