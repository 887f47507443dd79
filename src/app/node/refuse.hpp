#pragma once

#include "protocol/refusal.hpp"
#include "transport/http_server.hpp"

namespace pomelorouter::app
{

/// Answers with a refusal, its HTTP status and, if it has one, `Retry-After`.
boost::asio::awaitable<void> refuse(transport::http_exchange& exchange,
                                    const protocol::refusal& refusal);

} // namespace pomelorouter::app
