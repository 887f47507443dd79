#pragma once

#include "app/node/completion_core.hpp"
#include "app/node/control_component.hpp"
#include "app/node/control_loop.hpp"
#include "app/node/demand_tracker.hpp"
#include "protocol/caller_api.hpp"
#include "state/counters.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/timer_service.hpp"

#include <memory>
#include <string>

namespace pomelorouter::app
{

/// Serves completions: admits a request, chooses an engine, and continues on another
/// engine when an attempt fails, within the deadline and the retry budget. Runs on the
/// serving thread.
class completion_proxy
{
public:
    completion_proxy(const std::string& node_id, const view_cell& views,
                     transport::http_client& client,
                     boost::asio::any_io_executor executor,
                     transport::timer_service& timers, demand_tracker& demand,
                     state::counter_registry& counters);
    ~completion_proxy();
    completion_proxy(const completion_proxy&) = delete;
    completion_proxy& operator=(const completion_proxy&) = delete;

    /// Serves one request. Throws `state::error` if the request is invalid or no service
    /// offers the model; later failures are sent to the caller.
    boost::asio::awaitable<void> handle(transport::http_exchange& exchange,
                                        protocol::completion_form form);

private:
    /// Waits until the hedge has ended. Returns the result of the first attempt if that
    /// finished or its caller disconnected, otherwise the result of the hedge.
    static boost::asio::awaitable<attempt_result> join_hedge(active_completion& active,
                                                             attempt_result first);
    static boost::asio::awaitable<void> serve(completion_core& shared,
                                              active_completion& active);

    /// Also owned by each request in flight, which uses it until it has ended.
    std::shared_ptr<completion_core> shared;
    std::unique_ptr<transport::timer_subscription> ticks;
};

} // namespace pomelorouter::app
