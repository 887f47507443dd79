#pragma once

#include "app/gateway/serving/gateway_state.hpp"
#include "coordination/held_sizes.hpp"
#include "coordination/route_table.hpp"
#include "state/backend_entry.hpp"
#include "state/clock.hpp"
#include "state/gateway_config.hpp"

#include <memory>
#include <vector>

namespace pomelorouter::app
{

/// Keeps the sizes that models on the engines had in earlier configurations. Runs on
/// every gateway, since any may become the holder of the placement lease.
class size_tracker
{
public:
    explicit size_tracker(const gateway_state& gateway) : shared(gateway) {}

    /// Observes all engines after a change of the configuration, and once a second.
    void track();
    /// Returns the sizes that the models on an engine may have besides those of the
    /// configuration.
    coordination::held_sizes::size_map
    sizes_of(const state::backend_entry& entry,
             const std::vector<state::loaded_model>& models);
    /// Records that an engine accepted an order to load a model.
    void on_load(const state::backend_entry& entry, const state::hosted_model& model);

private:
    void observe(const state::backend_entry& entry,
                 const std::vector<state::loaded_model>& models);

    const gateway_state& shared;
    coordination::held_sizes sizes;
    /// The configuration and the time of the last observation of all engines.
    std::shared_ptr<const coordination::route_table> tracked_routes;
    state::time_point tracked_at{};
};

} // namespace pomelorouter::app
