#pragma once

#include "coordination/weight_demand.hpp"
#include "state/backend_entry.hpp"
#include "state/clock.hpp"
#include "state/gateway_config.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace pomelorouter::coordination
{

namespace internal
{
struct plan_workspace;
}

/// One engine as the planner sees it.
struct planned_engine
{
    std::string id;
    std::vector<state::loaded_model> models;
    /// Models that load without the weight store.
    std::set<std::string, std::less<>> cached;
    /// Requests at the engine, over all gateways.
    double active = 0.0;
    /// An order is under way or about to be given.
    bool is_busy = false;
    /// A model that the order under way loads.
    std::string loading;
    /// A model for which room is made, or was made a moment ago.
    std::string reserved;

    bool holds_model(std::string_view name) const;
    bool holds_adapter(std::string_view model, std::string_view adapter) const;
    int adapter_count() const;
};

enum class plan_operation
{
    load_model,
    unload_model,
    load_adapter,
    unload_adapter,
};

std::string_view to_string(plan_operation operation);
bool is_adapter_operation(plan_operation operation);
bool is_unload(plan_operation operation);

struct planned_order
{
    std::string engine;
    plan_operation operation = plan_operation::load_model;
    std::string model;
    std::string adapter;
    /// The model for which another is unloaded.
    std::string room_for;
    /// Whether the load draws on the weight store.
    bool from_store = false;
    /// Why, for the log.
    std::string_view reason;
};

/// Decides which engine holds which models and adapters. It is pure: it answers the
/// demand of the last seconds with at most one order for each engine that is free.
class weight_planner
{
public:
    /// `store_loads` is the number of loads from the weight store that may begin now.
    /// Models are moved only once `is_settled`: the list of engines is complete.
    /// `first_copies` are the copies of each model that the fleet started with: the only
    /// sign of the usual demand before there is any.
    std::vector<planned_order> plan(const state::engine_profile& profile,
                                    std::vector<planned_engine> engines,
                                    const std::string& service,
                                    const weight_demand::rates& demand,
                                    const std::map<std::string, int>& first_copies,
                                    int store_loads, bool is_settled) const;

private:
    void place_waiting_adapters(internal::plan_workspace& work) const;
    void load_reserved_models(internal::plan_workspace& work) const;
    void place_missing_models(internal::plan_workspace& work, bool only_waiting) const;
    void fill_adapter_places(internal::plan_workspace& work) const;
    void copy_busy_adapters(internal::plan_workspace& work) const;
    void balance_models(internal::plan_workspace& work) const;
    static bool make_adapter_place(internal::plan_workspace& work,
                                   planned_engine& engine);
    static bool move_copy(internal::plan_workspace& work,
                          const state::hosted_model& wanted);
    static bool load_missing(internal::plan_workspace& work,
                             const state::hosted_model& wanted);
};

} // namespace pomelorouter::coordination
