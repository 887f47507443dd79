#pragma once

#include "coordination/weight_planner.hpp"

#include <cstdint>
#include <functional>
#include <map>
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
    /// demand per copy of that model after the unload.
    const std::string* victim = nullptr;
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
    /// Demand that models are placed for, in prompt tokens per second.
    std::map<std::string, double> model_demand = {};
    /// Rates of requests for each model including its adapters.
    std::map<std::string, weight_rate> model_rates = {};
    /// Number of engines that have a model loaded, that have it loaded or are loading it,
    /// and that have an adapter of it loaded.
    std::map<std::string, int> held = {};
    std::map<std::string, int> copies = {};
    std::map<std::string, std::map<std::string, int>> adapter_held = {};
    /// Engines that had a model loaded at the start of the round.
    std::map<std::string_view, std::vector<planned_engine*>> holders = {};
    /// Number of engines that are changing their models or are about to.
    int changing = 0;
    /// Models of the service by name.
    std::map<std::string_view, const state::hosted_model*> hosted = {};

    /// Initialize the members; must be called first and in this order.
    void count_copies();
    void estimate_demand();

    weight_rate rate_of(const std::string& model, const std::string& adapter) const;
    /// Demand per copy of a model with `change` more copies.
    double demand_per_copy(const std::string& model, int change = 0) const;
    /// Demand per copy of a model, or the minimum priority of a model with too few copies
    /// if that is higher.
    double placement_priority(const state::hosted_model& model) const;
    /// Demand on an engine: the sum of the demand per copy of its models.
    double engine_demand(const planned_engine& engine) const;
    const state::hosted_model* find_model(std::string_view name) const;
    /// Returns the engines that may have the model loaded; an unload ordered in this
    /// round does not remove its engine.
    const std::vector<planned_engine*>& holders_of(std::string_view model) const;
    int held_copies(const std::string& model) const;
    int model_copies(const std::string& model) const;
    int adapter_copies(const std::string& model, const std::string& adapter) const;
    /// Requests per second for a model including its adapters, plus waiting requests.
    double model_rate(const std::string& model) const;
    double used_mb(const planned_engine& engine) const;
    bool has_room(const planned_engine& engine, const state::hosted_model& model) const;
    std::uint32_t waiting(const std::string& model) const;
    /// Returns the model of the engine with the lowest remaining demand per copy after an
    /// unload, among the models that other engines also have. Returns null if none is
    /// below `demand_limit`; otherwise sets it to the value of the returned model.
    const std::string* find_victim(const planned_engine& engine,
                                   double& demand_limit) const;

    void order_unload(planned_engine& engine, const std::string& model,
                      const std::string& room_for);
    void order_load(planned_engine& engine, const std::string& model,
                    std::string_view reason);
    /// Returns the target with the lowest cost of loading `wanted`; its engine is null if
    /// there is none. The demand of a victim is less than `victim_limit`.
    load_target cheapest_target(const state::hosted_model& wanted, double victim_limit,
                                const load_cost& cost_of);
    /// Orders a load of `model`, or an unload that frees memory for it; returns false if
    /// `target` has no engine.
    bool order_load_at(const load_target& target, const std::string& model,
                       std::string_view reason);
    void add_order(planned_engine& engine, plan_operation operation,
                   const std::string& model, const std::string& adapter, bool from_store,
                   std::string_view reason);
};

} // namespace pomelorouter::coordination::internal
