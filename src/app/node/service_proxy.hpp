#pragma once

#include "app/node/control_loop.hpp"
#include "state/counters.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

#include <cstdint>

namespace pomelorouter::app
{

/// Serves calls to plain services. A call that may not be repeated is sent at most once.
class service_proxy
{
public:
    service_proxy(const view_cell& views, transport::http_client& client,
                  state::counter_registry& counters);

    boost::asio::awaitable<void> handle(transport::http_exchange& exchange);

private:
    const view_cell& views;
    transport::http_client& client;
    std::uint64_t rotation = 0;
    state::counter& calls;
};

} // namespace pomelorouter::app
