#pragma once

#include "app/node/admission_gate.hpp"
#include "app/node/caller_output.hpp"
#include "app/node/demand_tracker.hpp"
#include "app/node/engine_attempt.hpp"
#include "app/node/engine_chooser.hpp"
#include "app/node/request_id.hpp"
#include "coordination/retry_budget.hpp"
#include "state/counters.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace pomelorouter::app
{

class active_completion;

/// State and periodic checks shared by all completion requests of a node.
struct completion_core : std::enable_shared_from_this<completion_core>
{
    completion_core(std::string node, const view_cell& views,
                    transport::http_client& http,
                    boost::asio::any_io_executor loop_executor,
                    demand_tracker& model_demand, state::counter_registry& counters);

    /// Updates the engine states, checks the requests in flight and sends due probes.
    void tick(state::time_point time);
    void send_probes(state::time_point time);
    static boost::asio::awaitable<void> probe(std::shared_ptr<completion_core> shared,
                                              std::shared_ptr<completion_state> request,
                                              chosen_engine engine);
    void check(active_completion& request, state::time_point time, bool check_caller);
    void move_if_stalled(active_completion& request, state::time_point time);
    void hedge_if_late(active_completion& request, state::time_point time);
    static boost::asio::awaitable<void> run_hedge(std::shared_ptr<completion_core> shared,
                                                  active_completion& request);

    std::string node_id;
    transport::http_client& client;
    boost::asio::any_io_executor executor;
    demand_tracker& demand;
    engine_chooser chooser;
    admission_gate gate;
    coordination::retry_budget budget;
    coordination::retry_budget hedge_budget;
    attempt_counters attempts;
    attempt_counters probe_attempts;
    request_id_source ids;
    std::set<active_completion*> active;
    int ticks_until_caller_check = 0;
    /// Set when the proxy is destroyed; requests that end later do not touch this state.
    bool is_closed = false;
    state::counter& completions;
    state::counter& refused;
    state::counter& retries;
    state::counter& moves;
    state::counter& hedges;
    state::counter& abandoned;
};

/// A request in flight. Registers itself with `completion_core` for the periodic checks.
class active_completion
{
public:
    active_completion(completion_core& shared, transport::http_exchange& exchange);
    ~active_completion();
    active_completion(const active_completion&) = delete;
    active_completion& operator=(const active_completion&) = delete;

    /// Cancels the attempts that wait for an engine. Returns whether any was cancelled.
    bool cancel();

    completion_core& shared;
    transport::http_exchange& exchange;
    completion_state state;
    caller_output output;
    std::optional<engine_attempt> attempt;
    /// Second attempt, running in parallel with the first one.
    std::optional<engine_attempt> hedge;
    coordination::engine_slot hedge_slot = 0;
    std::optional<attempt_result> hedge_result;
    /// A wait on this timer is cancelled when the hedge has ended.
    boost::asio::steady_timer hedge_ended;
    coordination::engine_slot attempt_slot = 0;
    coordination::admission_limits limits;
    bool is_admitted = false;
    /// Whether the retry budget has already been charged for the next attempt, because a
    /// stalled call was moved.
    bool is_next_attempt_paid = false;
    bool is_late = false;
    /// Whether the final response is being written; a caller that closes its connection
    /// now has not abandoned the request.
    bool is_answering = false;
};

} // namespace pomelorouter::app
