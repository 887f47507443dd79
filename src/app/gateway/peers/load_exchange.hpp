#pragma once

#include "app/gateway/serving/gateway_state.hpp"
#include "coordination/gossip_plan.hpp"
#include "protocol/gateway_heartbeat.hpp"

#include <string>

namespace pomelorouter::app
{

/// Puts the calls and the demand that this gateway knows of into heartbeats, and takes
/// those of other gateways over.
class load_exchange
{
public:
    explicit load_exchange(gateway_state& gateway) : shared(gateway) {}

    /// The heartbeats that follow belong to one moment, so that sums are computed once.
    void begin_round() { this->all_loads.reset(); }
    /// Sets what `target` is to be told.
    void fill(protocol::gateway_heartbeat& heartbeat,
              const coordination::gossip_target& target);
    /// Takes a report over if it fits the role of this gateway. Returns whether requests
    /// have begun to wait for weights, which the holder of the lease has to know soon.
    bool accept(const protocol::gateway_heartbeat& heartbeat, bool is_aggregator);
    void forget(const std::string& node);
    void forget_all();

private:
    void fill_loads(protocol::gateway_heartbeat& heartbeat,
                    const coordination::gossip_target& target);
    void fill_rates(protocol::gateway_heartbeat& heartbeat,
                    const coordination::gossip_target& target) const;

    gateway_state& shared;
    std::optional<coordination::backend_loads::load_map> all_loads;
};

} // namespace pomelorouter::app
