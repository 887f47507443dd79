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

/// Where a model may be loaded.
struct load_place
{
    planned_engine* engine = nullptr;
    /// The model that has to go for it, and what it weighs; null if there is room.
    const std::string* victim = nullptr;
    double victim_weight = 0.0;
};

/// Cost of loading a model at a place, from the weight store or from the engine's own
/// disk.
using place_cost = std::function<double(const planned_engine& engine,
                                        const load_place& place, bool from_store)>;

/// What one round of planning works on; engines that were given an order are busy.
struct plan_workspace
{
    const state::engine_profile& profile;
    std::vector<planned_engine>& engines;
    const std::string& service;
    const weight_demand::rates& demand;
    const std::map<std::string, int>& first_copies;
    int store_loads;
    std::vector<planned_order> orders = {};
    /// Demand that each model is to be ready for, in prompt tokens a second.
    std::map<std::string, double> weights = {};
    /// Requests for each model with all its adapters.
    std::map<std::string, weight_rate> model_rates = {};
    /// Engines that hold a model, that hold or load it, and that hold an adapter of it.
    std::map<std::string, int> held = {};
    std::map<std::string, int> copies = {};
    std::map<std::string, std::map<std::string, int>> adapter_held = {};
    /// Engines that change their models, or are about to.
    int changing = 0;
    /// Models of the service by name.
    std::map<std::string_view, const state::hosted_model*> hosted = {};

    /// Both come first, in this order.
    void count_copies();
    void weigh_models();

    weight_rate rate_of(const std::string& model, const std::string& adapter) const;
    /// Demand that one copy of a model has to carry, with `change` more copies.
    double weight_per_copy(const std::string& model, int change = 0) const;
    /// Demand that one copy of a model has to carry, or what its missing reserve counts
    /// as.
    double need(const state::hosted_model& model) const;
    /// Demand that an engine has to carry with all its models.
    double engine_weight(const planned_engine& engine) const;
    const state::hosted_model* find_model(std::string_view name) const;
    int held_copies(const std::string& model) const;
    int model_copies(const std::string& model) const;
    int adapter_copies(const std::string& model, const std::string& adapter) const;
    /// Requests a second for a model with all its adapters.
    double model_rate(const std::string& model) const;
    double used_mb(const planned_engine& engine) const;
    bool has_room(const planned_engine& engine, const state::hosted_model& model) const;
    std::uint32_t waiting(const std::string& model) const;
    /// The model of the engine that is missed least, of those that others hold as well;
    /// null if none is below `weight`, which is set to that of the one returned.
    const std::string* least_needed(const planned_engine& engine, double& weight) const;

    void give_unload(planned_engine& engine, const std::string& model,
                     const std::string& room_for);
    void give_load(planned_engine& engine, const std::string& model,
                   std::string_view reason);
    /// The engine where loading `wanted` costs least, if there is one; a model that has
    /// to go for it weighs less than `victim_limit`.
    load_place cheapest_place(const state::hosted_model& wanted, double victim_limit,
                              const place_cost& cost_of);
    /// Loads a model, or makes room for it; returns false if there is no place.
    bool load_at(const load_place& place, const std::string& model,
                 std::string_view reason);
    void give(planned_engine& engine, plan_operation operation, const std::string& model,
              const std::string& adapter, bool from_store, std::string_view reason);
};

} // namespace pomelorouter::coordination::internal
