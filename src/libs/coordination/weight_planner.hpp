#pragma once

#include "coordination/held_sizes.hpp"
#include "coordination/weight_demand.hpp"
#include "state/backend_entry.hpp"
#include "state/clock.hpp"
#include "state/gateway_config.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pomelorouter::coordination
{

namespace internal
{
struct plan_workspace;
}

/// Reading speed that is assumed of an engine until it is measured.
inline constexpr double default_engine_tokens_per_s = 20000.0;

/// State of one engine as input for the planner.
struct planned_engine
{
    std::string id;
    std::vector<state::loaded_model> models;
    /// Sizes that models on the engine may have besides those of the configuration.
    held_sizes::size_map sizes;
    /// Models that can be loaded without the weight store.
    std::set<std::string, std::less<>> cached;
    /// Requests in flight at the engine from all gateways.
    double active = 0.0;
    /// Prompt tokens that the engine can read per second.
    double tokens_per_s = default_engine_tokens_per_s;
    /// Requests per second that the engine accepts from all gateways together.
    std::optional<double> limit_per_s;
    /// An order is in progress or about to be sent.
    bool is_busy = false;
    /// Model that the order in progress loads; may be empty.
    std::string loading;
    /// Model for which memory is being freed or has just been freed; may be empty.
    std::string reserved;
    /// Adapter, as MODEL/ADAPTER, for which a slot is being freed or has just been freed;
    /// may be empty.
    std::string reserved_adapter;

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
    /// For an unload: the model, or the adapter as MODEL/ADAPTER, that is to be loaded in
    /// its place.
    std::string room_for;
    /// Whether the load reads from the weight store.
    bool from_store = false;
    /// Reason for the order, for the log.
    std::string_view reason;
};

/// Decides which engines load which models and adapters. Keeps no state: each call
/// returns at most one order for each engine that is not busy, based on the recent
/// demand.
class weight_planner
{
public:
    /// `store_loads` is the number of loads from the weight store that may start now.
    /// Models are moved only if `is_settled`, that is, the list of engines is complete.
    /// `initial_copies` is the number of copies of each model that the engines started
    /// with, which indicates the usual demand until requests arrive.
    std::vector<planned_order> plan(const state::engine_profile& profile,
                                    std::vector<planned_engine> engines,
                                    const std::string& service,
                                    const weight_demand::rates& demand,
                                    const std::map<std::string, int>& initial_copies,
                                    int store_loads, bool is_settled) const;

private:
    static void set_limited_aside(std::vector<planned_engine>& engines,
                                  const std::string& service,
                                  const weight_demand::rates& demand);
    void load_reserved_adapters(internal::plan_workspace& work) const;
    void place_waiting_adapters(internal::plan_workspace& work) const;
    void load_reserved_models(internal::plan_workspace& work) const;
    void place_missing_models(internal::plan_workspace& work, bool only_waiting) const;
    void fill_adapter_slots(internal::plan_workspace& work) const;
    void copy_busy_adapters(internal::plan_workspace& work) const;
    void balance_models(internal::plan_workspace& work) const;
    static bool ensure_adapter_slot(internal::plan_workspace& work,
                                    planned_engine& engine, const weight_name& wanted,
                                    double requests_per_copy);
    static bool move_copy(internal::plan_workspace& work,
                          const state::hosted_model& wanted, double crowding);
    static bool load_missing(internal::plan_workspace& work,
                             const state::hosted_model& wanted);
};

} // namespace pomelorouter::coordination
