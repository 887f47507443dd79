#pragma once

#include "app/gateway/serving/gateway_state.hpp"
#include "coordination/gossip_plan.hpp"
#include "protocol/gateway_heartbeat.hpp"

#include <string>

namespace pomelorouter::app
{

/// Writes the backend loads, the speeds of engines, the weight demand and the use of
/// allowances that this gateway knows into heartbeats, and stores those that other
/// gateways report.
class load_exchange
{
public:
    explicit load_exchange(gateway_state& gateway) : shared(gateway) {}

    /// Discards the cached totals. All heartbeats filled until the next call share one
    /// set of totals, which is computed once.
    void reset_totals()
    {
        this->cached_totals.reset();
        this->cached_speeds.reset();
        this->cached_queues.reset();
        this->cached_team_totals.reset();
    }
    /// Sets the loads and rates that `target` receives.
    void fill(protocol::gateway_heartbeat& heartbeat,
              const coordination::gossip_target& target);
    /// Stores the reported demand, and the loads if they suit the role of this gateway.
    /// Returns whether this aggregator must forward the demand to the lease holder at
    /// once, because requests at the sender have begun to wait for weights.
    bool accept(const protocol::gateway_heartbeat& heartbeat, bool is_aggregator);
    void forget(const std::string& node);
    void forget_all();

private:
    void fill_teams(protocol::gateway_heartbeat& heartbeat,
                    const coordination::gossip_target& target);
    void fill_loads(protocol::gateway_heartbeat& heartbeat,
                    const coordination::gossip_target& target);
    void fill_speeds(protocol::gateway_heartbeat& heartbeat);
    void fill_rates(protocol::gateway_heartbeat& heartbeat,
                    const coordination::gossip_target& target) const;
    /// Sets what waits for capacity, for receivers that do not plan the placement.
    void fill_queues(protocol::gateway_heartbeat& heartbeat,
                     const coordination::gossip_target& target);

    gateway_state& shared;
    std::optional<coordination::backend_loads::load_map> cached_totals;
    std::optional<coordination::engine_speed::speed_list> cached_speeds;
    std::optional<coordination::weight_demand::queue_map> cached_queues;
    std::optional<coordination::team_usage_report> cached_team_totals;
};

} // namespace pomelorouter::app
