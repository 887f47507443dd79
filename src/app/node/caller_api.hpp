#pragma once

#include "app/node/admin_api.hpp"
#include "app/node/completion_proxy.hpp"
#include "app/node/control_loop.hpp"
#include "app/node/issued_key_source.hpp"
#include "app/node/service_proxy.hpp"
#include "state/counters.hpp"
#include "transport/http_server.hpp"

namespace pomelorouter::app
{

/// Dispatches HTTP requests of callers and operators by path. Runs on the serving thread.
class caller_api : public transport::http_handler
{
public:
    caller_api(const node_identity& identity, const view_cell& views,
               completion_proxy& completions, service_proxy& services, admin_api& admin,
               const state::counter_registry& counters);

    boost::asio::awaitable<void> handle(transport::http_exchange& exchange) override;

private:
    transport::http_response address_response(std::string_view target);
    transport::http_response models_response() const;
    transport::http_response ready_response() const;

    const view_cell& views;
    completion_proxy& completions;
    service_proxy& services;
    admin_api& admin;
    const state::counter_registry& counters;
    issued_key_source keys;
};

} // namespace pomelorouter::app
