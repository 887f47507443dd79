#pragma once

#include "coordination/demand_spread.hpp"
#include "coordination/weight_planner.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::coordination::internal
{

/// Engine on which a model may be loaded.
struct load_target
{
    planned_engine* engine = nullptr;
    /// Model that has to be unloaded first, or null if there is enough memory, and the
    /// load of the engines that take over its requests.
    const std::string* victim = nullptr;
    double victim_load = 0.0;
    /// Load of the engine without the victim.
    double engine_load = 0.0;
};

/// Limits of the loads that a move may lead to.
struct move_limits
{
    /// Load of the target engine without the victim, and of the engines that take over
    /// the requests for the victim.
    double resulting_load = 0.0;
    /// Demand per remaining copy of the victim, as a load.
    double victim_demand = 0.0;
};

/// Returns the cost of loading a model on a target, from the weight store or from the
/// disk of the engine.
using load_cost = std::function<double(const planned_engine& engine,
                                       const load_target& target, bool from_store)>;

/// Working data of one planning round; engines with an order count as busy.
struct plan_workspace
{
    const state::engine_profile& profile;
    std::vector<planned_engine>& engines;
    const std::string& service;
    const weight_demand::rates& demand;
    const std::map<std::string, int>& initial_copies;
    int store_loads;
    std::vector<planned_order> orders = {};
    /// Demand that models are placed for, in prompt tokens per second, including and
    /// without that for their adapters.
    std::map<std::string, double> model_demand = {};
    std::map<std::string, double> plain_demand = {};
    /// The same for adapters.
    std::map<weight_name, double> adapter_demand = {};
    /// Whether requests cause more than the load that is assumed until they arrive.
    bool has_traffic = false;
    /// Expected loads of the engines, and the numbers of the flows of models and
    /// adapters.
    demand_spread spread{{}};
    std::map<std::string_view, std::size_t> model_flows = {};
    std::map<weight_name, std::size_t> adapter_flows = {};
    /// Load of each engine by the adapters of each of its models.
    std::vector<std::map<std::string_view, double>> adapter_loads = {};
    /// Adapters for which a slot is being freed.
    std::set<std::string> promised_adapters = {};
    /// Models that should have some copies before there is demand for them.
    std::set<std::string_view> reserved_models = {};
    /// Rates of requests for each model including its adapters.
    std::map<std::string, weight_rate> model_rates = {};
    /// Number of engines that have a model loaded, that have it loaded or are about to
    /// load it, and that have an adapter of it loaded.
    std::map<std::string, int> held = {};
    std::map<std::string, int> copies = {};
    std::map<std::string, std::map<std::string, int>> adapter_held = {};
    /// Engines that had a model loaded at the start of the round.
    std::map<std::string_view, std::vector<planned_engine*>> holders = {};
    /// Number of engines that are changing their models or are about to.
    int changing = 0;
    /// Loads from the weight store for which memory is being freed.
    int promised_loads = 0;
    /// Models of the service by name.
    std::map<std::string_view, const state::hosted_model*> hosted = {};

    /// Initialize the members; must be called first and in this order.
    void count_copies();
    void estimate_demand();
    void estimate_loads();

    weight_rate rate_of(const std::string& model, const std::string& adapter) const;
    /// Demand per copy of a model with `change` more copies.
    double demand_per_copy(const std::string& model, int change = 0) const;
    /// Lowest load among the engines of a model, or the level assumed for a model that
    /// lacks copies if that is higher. Zero if a further copy would relieve no engine.
    double crowding(const state::hosted_model& model) const;
    std::size_t index_of(const planned_engine& engine) const;
    double engine_load(const planned_engine& engine) const;
    /// Share of the engine's load that requests for the model cause.
    double load_share(const planned_engine& engine, const std::string& model) const;
    /// Whether memory may be freed for one more load from the weight store.
    bool may_promise_load() const;
    const state::hosted_model* find_model(std::string_view name) const;
    /// Returns the engines that may have the model loaded; an unload ordered in this
    /// round does not remove its engine.
    const std::vector<planned_engine*>& holders_of(std::string_view model) const;
    int held_copies(const std::string& model) const;
    int model_copies(const std::string& model) const;
    int adapter_copies(const std::string& model, const std::string& adapter) const;
    /// Requests per second for a model including its adapters, plus waiting requests.
    double model_rate(const std::string& model) const;
    /// Whether the configuration lists the adapter.
    bool is_listed(const std::string& model, const std::string& adapter) const;
    /// Returns the largest size that the model may have on the engine, which is infinite
    /// if none is known.
    weight_size size_of(const planned_engine& engine, std::string_view model) const;
    double used_mb(const planned_engine& engine) const;
    bool has_room(const planned_engine& engine, const state::hosted_model& model) const;
    /// Whether the engine has the memory for an adapter of a model that it has loaded,
    /// once `freed_mb` are freed, and also a free slot.
    bool has_adapter_room(const planned_engine& engine, const std::string& model,
                          double freed_mb = 0.0) const;
    bool has_adapter_slot(const planned_engine& engine, const std::string& model) const;
    std::uint32_t waiting(const std::string& model) const;
    /// Sets the victim of `target` to the model whose unload adds least to the loads of
    /// other engines, among the models that other engines also have. Returns false if
    /// none is within `limits`.
    bool find_victim(load_target& target, const move_limits& limits) const;

    void order_unload(planned_engine& engine, const std::string& model,
                      const std::string& room_for);
    void order_load(planned_engine& engine, const std::string& model,
                    std::string_view reason);
    /// Returns the target with the lowest cost of loading `wanted`; its engine is null if
    /// there is none within `limits`.
    load_target cheapest_target(const state::hosted_model& wanted,
                                const move_limits& limits, const load_cost& cost_of);
    /// Orders a load of `model`, or an unload that frees memory for it; returns false if
    /// `target` has no engine.
    bool order_load_at(const load_target& target, const std::string& model,
                       std::string_view reason);
    void add_order(planned_engine& engine, plan_operation operation,
                   const std::string& model, const std::string& adapter, bool from_store,
                   std::string_view reason);
};

} // namespace pomelorouter::coordination::internal
