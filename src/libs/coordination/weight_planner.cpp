#include "coordination/weight_planner.hpp"

#include "coordination/plan_workspace.hpp"
#include "coordination/retired_weights.hpp"
#include "state/enum_table.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pomelorouter::coordination
{

using internal::load_target;
using internal::move_limits;
using internal::plan_workspace;

namespace
{

constexpr std::array<state::enum_name<plan_operation>, 4> operation_names{{
    {plan_operation::load_model, "load_model"},
    {plan_operation::unload_model, "unload_model"},
    {plan_operation::load_adapter, "load_adapter"},
    {plan_operation::unload_adapter, "unload_adapter"},
}};

/// A model is copied if even its least loaded engine has at least this load, as a share
/// of the engine's time. A copy into free memory takes nothing from other models.
constexpr double min_crowding = 0.2;
constexpr double min_crowding_of_free_memory = 0.05;
/// The engines of a model must have at least this multiple of the load that the engine
/// of the new copy has, and of the load that engines get in place of that engine. A load
/// costs the engine time, so a small difference is not worth it.
constexpr double min_move_ratio = 1.25;
/// Least difference of these loads.
constexpr double min_relief = 0.05;
/// A model is unloaded if its demand per remaining copy is below this share of the load
/// of the engines of the model that replaces it.
constexpr double max_victim_share = 0.67;
/// Maximum number of models without a suitable engine in one round.
constexpr std::size_t max_failed_moves = 2;
/// An engine counts as limited if its limit is below this share of the requests for its
/// models.
constexpr double min_useful_limit_share = 0.5;
/// Maximum share of the engines that change their models at the same time.
constexpr double max_changing_share = 0.6;
/// Load of the engines of a model from which on it may use all of that share; below, it
/// may use a part in proportion. At this load half of its requests cannot be served. An
/// engine that loads weights cannot serve another model for seconds, so the rest is kept
/// for models whose demand shows itself later.
constexpr double full_share_crowding = 2.0;
/// Least part of that share that a model may use.
constexpr double min_changing_part = 0.5;
/// Models without waiting requests are not restored while this many engines are changing
/// their models.
constexpr int max_changing_for_idle = 4;
/// Penalty for a load from the weight store, as a share of the load of the engines that
/// it relieves.
constexpr double store_load_penalty = 0.5;
/// An adapter is copied if it puts at least this load on each of its engines.
constexpr double min_copied_adapter_load = 0.01;
/// Value of the only copy of an adapter, as a multiple of that of a further copy: without
/// it, requests wait until the adapter is loaded again.
constexpr double only_copy_ratio = 4.0;
/// Demand that a further copy of an adapter serves, as a multiple of the demand per copy
/// of the adapter that it replaces.
constexpr double min_adapter_demand_ratio = 1.5;
/// An adapter is copied to another engine if the engine that has it loaded has at least
/// this many more requests in flight.
constexpr double min_adapter_copy_gap = 10.0;

} // namespace

std::string_view to_string(plan_operation operation)
{
    return name_of(operation_names, operation);
}

bool planned_engine::holds_model(std::string_view name) const
{
    return std::any_of(this->models.begin(), this->models.end(),
                       [name](const state::loaded_model& item)
                       { return item.name == name; });
}

bool planned_engine::holds_adapter(std::string_view model, std::string_view adapter) const
{
    for (const state::loaded_model& item : this->models)
    {
        if (item.name == model)
            return std::find(item.adapters.begin(), item.adapters.end(), adapter) !=
                   item.adapters.end();
    }
    return false;
}

int planned_engine::adapter_count() const
{
    std::size_t count = 0;
    for (const state::loaded_model& item : this->models)
        count += item.adapters.size();
    return static_cast<int>(count);
}

bool is_adapter_operation(plan_operation operation)
{
    return operation == plan_operation::load_adapter ||
           operation == plan_operation::unload_adapter;
}

bool is_unload(plan_operation operation)
{
    return operation == plan_operation::unload_model ||
           operation == plan_operation::unload_adapter;
}

std::vector<planned_order>
weight_planner::plan(const state::engine_profile& profile,
                     std::vector<planned_engine> engines, const std::string& service,
                     const weight_demand::rates& demand,
                     const std::map<std::string, int>& initial_copies, int store_loads,
                     bool is_settled) const
{
    set_limited_aside(engines, service, demand);
    plan_workspace work{profile, engines, service, demand, initial_copies, store_loads};
    work.count_copies();
    work.estimate_demand();
    work.estimate_loads();
    internal::unload_retired_weights(work);
    this->load_reserved_adapters(work);
    this->place_waiting_adapters(work);
    this->load_reserved_models(work);
    if (is_settled)
    {
        this->place_missing_models(work, true);
        this->balance_models(work);
        this->place_missing_models(work, false);
    }
    this->copy_busy_adapters(work);
    this->fill_adapter_slots(work);
    return std::move(work.orders);
}

/// Excludes limited engines from orders, and ignores their copies of models with demand
/// that no other engine has, so that these are loaded elsewhere.
void weight_planner::set_limited_aside(std::vector<planned_engine>& engines,
                                       const std::string& service,
                                       const weight_demand::rates& demand)
{
    if (std::none_of(engines.begin(), engines.end(),
                     [](const planned_engine& engine)
                     { return engine.limit_per_s.has_value(); }))
        return;
    std::map<std::string_view, double> model_rates;
    for (const auto& [name, rate] : demand)
    {
        if (name.service == service)
            model_rates[name.model] += rate.per_s;
    }
    std::map<std::string, int> copies;
    for (const planned_engine& engine : engines)
    {
        for (const state::loaded_model& model : engine.models)
            ++copies[model.name];
    }
    std::map<std::string, int> usable_copies = copies;
    std::vector<planned_engine*> limited;
    for (planned_engine& engine : engines)
    {
        double requests_per_s = 0.0;
        for (const state::loaded_model& model : engine.models)
            requests_per_s += model_rates[model.name] / copies[model.name];
        if (!engine.limit_per_s ||
            *engine.limit_per_s >= min_useful_limit_share * requests_per_s)
            continue;
        engine.is_busy = true;
        limited.push_back(&engine);
        for (const state::loaded_model& model : engine.models)
            --usable_copies[model.name];
    }
    for (planned_engine* const engine : limited)
    {
        std::erase_if(
            engine->models, [&](const state::loaded_model& model)
            { return usable_copies[model.name] == 0 && model_rates[model.name] > 0.0; });
    }
}

/// Loads the adapters for which slots were freed.
void weight_planner::load_reserved_adapters(plan_workspace& work) const
{
    for (planned_engine& engine : work.engines)
    {
        const std::size_t separator = engine.reserved_adapter.find('/');
        if (separator == std::string::npos || engine.is_busy)
            continue;
        const std::string model = engine.reserved_adapter.substr(0, separator);
        const std::string adapter = engine.reserved_adapter.substr(separator + 1);
        if (!engine.holds_model(model) || engine.holds_adapter(model, adapter) ||
            !work.is_listed(model, adapter) || !work.has_adapter_slot(engine, model))
            continue;
        engine.reserved_adapter.clear();
        work.add_order(engine, plan_operation::load_adapter, model, adapter, false,
                       "a slot was freed for the adapter");
    }
}

void weight_planner::place_waiting_adapters(plan_workspace& work) const
{
    const auto is_better = [&work](const planned_engine& engine,
                                   const planned_engine& other, const std::string& model)
    {
        const bool has_slot = work.has_adapter_slot(engine, model);
        const bool other_has_slot = work.has_adapter_slot(other, model);
        return has_slot == other_has_slot ? engine.active < other.active : has_slot;
    };
    for (const auto& [name, rate] : work.demand)
    {
        if (name.service != work.service || name.adapter.empty() || rate.waiting == 0 ||
            work.adapter_copies(name.model, name.adapter) > 0 ||
            work.promised_adapters.count(name.weights()) > 0 ||
            !work.is_listed(name.model, name.adapter))
            continue;
        planned_engine* best = nullptr;
        for (planned_engine* const engine : work.holders_of(name.model))
        {
            if (engine->is_busy || !engine->holds_model(name.model))
                continue;
            if (best == nullptr || is_better(*engine, *best, name.model))
                best = engine;
        }
        const double no_limit = std::numeric_limits<double>::infinity();
        if (best != nullptr && ensure_adapter_slot(work, *best, name, no_limit))
        {
            work.add_order(*best, plan_operation::load_adapter, name.model, name.adapter,
                           false, "requests are waiting for the adapter");
        }
    }
}

/// Returns whether the engine has a free adapter slot. If not, the adapter with the least
/// demand is unloaded if that is worth it for `requests_per_copy` of the wanted adapter,
/// and the slot is free in a later planning round.
bool weight_planner::ensure_adapter_slot(plan_workspace& work, planned_engine& engine,
                                         const weight_name& wanted,
                                         double requests_per_copy)
{
    // A free slot may be reserved for another adapter.
    if (work.has_adapter_slot(engine, wanted.model))
        return engine.reserved_adapter.empty();
    const std::string* model = nullptr;
    const std::string* adapter = nullptr;
    double lowest = requests_per_copy / min_adapter_demand_ratio;
    for (const state::loaded_model& item : engine.models)
    {
        const double freed_mb = work.size_of(engine, item.name).adapter_mb;
        if (!work.has_adapter_room(engine, wanted.model, freed_mb))
            continue;
        for (const std::string& candidate : item.adapters)
        {
            const weight_rate rate = work.rate_of(item.name, candidate);
            const int copies = std::max(work.adapter_copies(item.name, candidate), 1);
            const double requests = rate.per_s + rate.waiting;
            const double value = requests / copies * (copies == 1 ? only_copy_ratio : 1);
            if (value >= lowest)
                continue;
            lowest = value;
            model = &item.name;
            adapter = &candidate;
        }
    }
    if (adapter != nullptr)
    {
        work.add_order(engine, plan_operation::unload_adapter, *model, *adapter, false,
                       "another adapter needs the slot");
        work.orders.back().room_for = wanted.weights();
    }
    return false;
}

/// Loads the models for which memory was freed.
void weight_planner::load_reserved_models(plan_workspace& work) const
{
    for (planned_engine& engine : work.engines)
    {
        if (engine.reserved.empty() || engine.is_busy)
            continue;
        const state::hosted_model* const model = work.find_model(engine.reserved);
        const bool from_store = engine.cached.count(engine.reserved) == 0;
        if (model == nullptr || engine.holds_model(engine.reserved) ||
            (from_store && work.store_loads <= 0) || !work.has_room(engine, *model))
            continue;
        work.order_load(engine, model->name, "memory was freed for the model");
    }
}

void weight_planner::place_missing_models(plan_workspace& work, bool only_waiting) const
{
    std::vector<std::pair<double, const state::hosted_model*>> missing;
    for (const state::hosted_model& model : work.profile.models)
    {
        const bool has_waiting = work.waiting(model.name) > 0;
        if (work.model_copies(model.name) == 0 && (has_waiting || !only_waiting))
            missing.emplace_back(work.model_rate(model.name), &model);
    }
    std::stable_sort(missing.begin(), missing.end(),
                     [](const auto& left, const auto& right)
                     { return left.first > right.first; });
    for (const auto& [rate, model] : missing)
    {
        if (!only_waiting && work.changing >= max_changing_for_idle)
            return;
        load_missing(work, *model);
    }
}

/// Loads a model that no engine has loaded on the engine with the lowest cost: one with
/// free memory, or one that first unloads a model that other engines also have.
bool weight_planner::load_missing(plan_workspace& work, const state::hosted_model& wanted)
{
    constexpr double victim_cost = 10.0;
    constexpr double store_cost = 20.0;
    const auto cost_of =
        [](const planned_engine& engine, const load_target& target, bool from_store)
    {
        return engine.active + (from_store ? store_cost : 0.0) +
               (target.victim == nullptr ? 0.0 : victim_cost);
    };
    const double no_limit = std::numeric_limits<double>::infinity();
    return work.order_load_at(
        work.cheapest_target(wanted, move_limits{no_limit, no_limit}, cost_of),
        wanted.name, "no engine has the model loaded");
}

/// Adds copies of the models whose engines are the most loaded on the engines where that
/// costs least, if necessary in place of copies of models with less demand.
void weight_planner::balance_models(plan_workspace& work) const
{
    const double max_changing =
        max_changing_share * static_cast<double>(work.engines.size());
    const auto may_change = [&work, max_changing](double crowding)
    {
        // Without traffic there is no other model that could need the engines.
        const double part = work.has_traffic ? std::clamp(crowding / full_share_crowding,
                                                          min_changing_part, 1.0)
                                             : 1.0;
        return work.changing < std::max(1, static_cast<int>(max_changing * part));
    };
    struct candidate
    {
        const state::hosted_model* model = nullptr;
        double crowding = 0.0;
        double demand = 0.0;
    };
    const auto candidate_of = [&work](const state::hosted_model& model)
    {
        const int copies = work.model_copies(model.name);
        const bool may_grow =
            copies > 0 && copies < static_cast<int>(work.engines.size());
        return candidate{&model, may_grow ? work.crowding(model) : 0.0,
                         work.demand_per_copy(model.name)};
    };
    std::vector<candidate> candidates;
    candidates.reserve(work.profile.models.size());
    for (const state::hosted_model& model : work.profile.models)
        candidates.push_back(candidate_of(model));
    std::size_t failed = 0;
    while (failed < max_failed_moves)
    {
        candidate* wanted = nullptr;
        for (candidate& item : candidates)
        {
            // Models of the same engines are equally crowded; the larger one moves.
            const bool is_equal = wanted != nullptr &&
                                  std::abs(item.crowding - wanted->crowding) < min_relief;
            if (wanted == nullptr || (is_equal ? item.demand > wanted->demand
                                               : item.crowding > wanted->crowding))
                wanted = &item;
        }
        if (wanted == nullptr || wanted->crowding < min_crowding_of_free_memory ||
            !may_change(wanted->crowding))
            return;
        const candidate present = candidate_of(*wanted->model);
        if (present.crowding + min_relief < wanted->crowding)
        {
            // Another move of this round has relieved its engines.
            *wanted = present;
            continue;
        }
        if (move_copy(work, *wanted->model, wanted->crowding))
            *wanted = candidate_of(*wanted->model);
        else
        {
            wanted->crowding = 0.0;
            ++failed;
        }
    }
}

/// Orders a load of `wanted`, or an unload that frees memory for it. Returns whether an
/// order was added.
bool weight_planner::move_copy(plan_workspace& work, const state::hosted_model& wanted,
                               double crowding)
{
    const auto cost_of =
        [crowding](const planned_engine&, const load_target& target, bool from_store)
    {
        return target.victim_load + target.engine_load +
               (from_store ? crowding * store_load_penalty : 0.0);
    };
    move_limits limits;
    limits.resulting_load = (crowding - min_relief) / min_move_ratio;
    limits.victim_demand = crowding < min_crowding ? 0.0 : crowding * max_victim_share;
    return work.order_load_at(work.cheapest_target(wanted, limits, cost_of), wanted.name,
                              "the engines of the model have too much work");
}

/// Loads an adapter on another engine if the engines that have it loaded have far more
/// requests, or are expected to have far more work, than one that only has the model.
void weight_planner::copy_busy_adapters(plan_workspace& work) const
{
    std::vector<std::pair<double, const weight_name*>> wanted;
    for (const auto& [name, tokens] : work.adapter_demand)
    {
        const int copies = std::max(work.adapter_copies(name.model, name.adapter), 1);
        if (work.spread.load_of(tokens / copies) >= min_copied_adapter_load &&
            work.promised_adapters.count(name.weights()) == 0 &&
            work.is_listed(name.model, name.adapter))
            wanted.emplace_back(tokens / copies, &name);
    }
    std::stable_sort(wanted.begin(), wanted.end(),
                     [](const auto& left, const auto& right)
                     { return left.first > right.first; });
    const auto is_better = [&work](const planned_engine& engine,
                                   const planned_engine& other, const std::string& model)
    {
        const bool has_slot = work.has_adapter_slot(engine, model);
        const bool other_has_slot = work.has_adapter_slot(other, model);
        return has_slot == other_has_slot
                   ? work.engine_load(engine) < work.engine_load(other)
                   : has_slot;
    };
    for (const auto& [tokens_per_copy, name] : wanted)
    {
        double min_holder_active = std::numeric_limits<double>::infinity();
        for (planned_engine* const engine : work.holders_of(name->model))
        {
            if (engine->holds_adapter(name->model, name->adapter))
                min_holder_active = std::min(min_holder_active, engine->active);
        }
        const double level = work.spread.level(work.adapter_flows.at(*name));
        const auto is_relief = [&](const planned_engine& engine)
        {
            const bool is_crowded =
                level >= min_crowding &&
                level >= work.engine_load(engine) * min_move_ratio + min_relief;
            return is_crowded ||
                   (std::isfinite(min_holder_active) &&
                    engine.active + min_adapter_copy_gap <= min_holder_active);
        };
        planned_engine* best = nullptr;
        for (planned_engine* const engine : work.holders_of(name->model))
        {
            if (engine->is_busy || !engine->holds_model(name->model) ||
                engine->holds_adapter(name->model, name->adapter) || !is_relief(*engine))
                continue;
            if (best == nullptr || is_better(*engine, *best, name->model))
                best = engine;
        }
        if (best == nullptr)
            continue;
        const weight_rate rate = work.rate_of(name->model, name->adapter);
        const int copies = work.adapter_copies(name->model, name->adapter) + 1;
        if (ensure_adapter_slot(work, *best, *name, (rate.per_s + rate.waiting) / copies))
        {
            work.add_order(*best, plan_operation::load_adapter, name->model,
                           name->adapter, false,
                           "the engines with the adapter have far more work");
        }
    }
}

void weight_planner::fill_adapter_slots(plan_workspace& work) const
{
    for (const state::hosted_model& model : work.profile.models)
    {
        const std::vector<planned_engine*>& holders = work.holders_of(model.name);
        for (const std::string& adapter : model.adapters)
        {
            if (holders.empty() || work.adapter_copies(model.name, adapter) > 0)
                continue;
            planned_engine* best = nullptr;
            for (planned_engine* const engine : holders)
            {
                if (engine->is_busy || !engine->holds_model(model.name) ||
                    !engine->reserved_adapter.empty() ||
                    !work.has_adapter_slot(*engine, model.name))
                    continue;
                if (best == nullptr || engine->adapter_count() < best->adapter_count())
                    best = engine;
            }
            if (best != nullptr)
            {
                work.add_order(*best, plan_operation::load_adapter, model.name, adapter,
                               false, "the engine has a free adapter slot");
            }
        }
    }
}

} // namespace pomelorouter::coordination
