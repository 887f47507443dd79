#pragma once

#include "coordination/placement.hpp"
#include "state/clock.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace pomelorouter::app
{

/// Measures the demand for each model. The serving thread reports requests; the control
/// thread reads a forecast. All functions may be called from any thread.
class demand_tracker
{
public:
    /// Reports a request. The adapter is empty if the request names none.
    void add_request(std::string_view model, std::string_view adapter,
                     std::int64_t expected_tokens);
    /// Reports that a caller begins to wait for a model that is not resident.
    void begin_waiting(std::string_view model, std::string_view adapter);
    /// Reports that such a caller has been served or refused.
    void end_waiting(std::string_view model, std::string_view adapter);
    /// Replaces the demand that another node has reported. A report expires after
    /// `peer_demand_lifetime`.
    void add_peer_demand(const std::string& node, const coordination::demand_map& demand,
                         state::time_point now);

    /// Demand of the requests at this node only, to be sent to peers.
    coordination::demand_map own_demand(state::time_point now);
    /// Demand at all nodes. Callers are spread evenly over the serving nodes, so this
    /// node's own demand is used as the estimate for nodes that have not reported theirs.
    coordination::demand_map forecast(state::time_point now, std::size_t serving_nodes);

private:
    struct entry
    {
        double tokens_since_update = 0.0;
        /// Smoothed rate and its change per second.
        double rate = 0.0;
        double slope = 0.0;
        std::int64_t waiting = 0;
    };
    struct peer_entry
    {
        coordination::demand_map demand;
        state::time_point received;
    };

    void update(state::time_point now);
    coordination::demand_map own_locked(state::time_point now);

    std::mutex mutex;
    std::map<coordination::demand_key, entry> entries;
    std::map<std::string, peer_entry> peers;
    state::time_point last_update{};
    bool has_updated = false;
};

} // namespace pomelorouter::app
