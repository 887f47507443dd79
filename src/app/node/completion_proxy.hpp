#pragma once

#include "app/node/admission_gate.hpp"
#include "app/node/control_component.hpp"
#include "app/node/control_loop.hpp"
#include "app/node/engine_attempt.hpp"
#include "app/node/engine_chooser.hpp"
#include "app/node/request_id.hpp"
#include "coordination/retry_backoff.hpp"
#include "coordination/retry_budget.hpp"
#include "protocol/caller_api.hpp"
#include "state/counters.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/timer_service.hpp"

#include <memory>
#include <string>

namespace pomelorouter::app
{

/// Serves completions: admits a request, chooses an engine, and goes on elsewhere when an
/// attempt breaks, within the deadline and the retry budget. Runs on the serving thread.
class completion_proxy
{
public:
    completion_proxy(const std::string& node_id, const view_cell& views,
                     transport::http_client& client,
                     boost::asio::any_io_executor executor,
                     transport::timer_service& timers, state::counter_registry& counters);
    ~completion_proxy();
    completion_proxy(const completion_proxy&) = delete;
    completion_proxy& operator=(const completion_proxy&) = delete;

    boost::asio::awaitable<void> handle(transport::http_exchange& exchange,
                                        protocol::completion_form form);

private:
    struct core;
    class active_request;
    class discarded_output;

    static boost::asio::awaitable<void> serve(core& shared, active_request& active);

    /// Also owned by each request in flight: their ends refer to it.
    std::shared_ptr<core> shared;
    std::unique_ptr<transport::timer_subscription> ticks;
};

} // namespace pomelorouter::app
