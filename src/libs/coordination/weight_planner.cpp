#include "coordination/weight_planner.hpp"

#include "coordination/plan_workspace.hpp"
#include "state/enum_table.hpp"

#include <algorithm>
#include <limits>

namespace pomelorouter::coordination
{

using internal::load_place;
using internal::plan_workspace;

namespace
{

constexpr std::array<state::enum_name<plan_operation>, 4> operation_names{{
    {plan_operation::load_model, "load_model"},
    {plan_operation::unload_model, "unload_model"},
    {plan_operation::load_adapter, "load_adapter"},
    {plan_operation::unload_adapter, "unload_adapter"},
}};

/// One copy carries this much without help, in prompt tokens a second.
constexpr double easy_weight = 4000.0;
/// A copy is moved to a model whose copies carry this many times as much as those of the
/// model that gives way would after it.
constexpr double move_gain = 1.5;
/// Engines that change their models at the same time, as a share of all.
constexpr double most_changing_share = 0.6;
/// While this many engines change, models that nobody asks for are not restored.
constexpr int most_idle_restores = 4;
/// A load from the weight store takes this share of the gain.
constexpr double store_load_cost = 0.5;
/// An adapter is copied to another engine if the one that holds it has this many more
/// requests.
constexpr double adapter_copy_gap = 10.0;

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
                     const std::map<std::string, int>& first_copies, int store_loads,
                     bool is_settled) const
{
    plan_workspace work{profile, engines, service, demand, first_copies, store_loads};
    work.count_copies();
    work.weigh_models();
    this->place_waiting_adapters(work);
    this->load_reserved_models(work);
    if (is_settled)
    {
        this->place_missing_models(work, true);
        this->balance_models(work);
        this->place_missing_models(work, false);
    }
    this->copy_busy_adapters(work);
    this->fill_adapter_places(work);
    return std::move(work.orders);
}

void weight_planner::place_waiting_adapters(plan_workspace& work) const
{
    for (const auto& [name, rate] : work.demand)
    {
        if (name.service != work.service || name.adapter.empty() || rate.waiting == 0 ||
            work.adapter_copies(name.model, name.adapter) > 0)
            continue;
        planned_engine* best = nullptr;
        for (planned_engine& engine : work.engines)
        {
            if (engine.is_busy || !engine.holds_model(name.model))
                continue;
            if (best == nullptr || engine.active < best->active)
                best = &engine;
        }
        if (best != nullptr && make_adapter_place(work, *best))
        {
            work.give(*best, plan_operation::load_adapter, name.model, name.adapter,
                      false, "requests wait for the adapter");
        }
    }
}

/// Returns whether the engine has a free place for an adapter. If not, the adapter with
/// the least demand is unloaded, and the place is free in a later round.
bool weight_planner::make_adapter_place(plan_workspace& work, planned_engine& engine)
{
    if (engine.adapter_count() < work.profile.adapter_slots)
        return true;
    const std::string* model = nullptr;
    const std::string* adapter = nullptr;
    double lowest = std::numeric_limits<double>::infinity();
    for (const state::loaded_model& item : engine.models)
    {
        for (const std::string& candidate : item.adapters)
        {
            const weight_rate rate = work.rate_of(item.name, candidate);
            const int copies = std::max(work.adapter_copies(item.name, candidate), 1);
            const double value = (rate.per_s + rate.waiting) / copies;
            if (value >= lowest)
                continue;
            lowest = value;
            model = &item.name;
            adapter = &candidate;
        }
    }
    if (adapter != nullptr)
    {
        work.give(engine, plan_operation::unload_adapter, *model, *adapter, false,
                  "another adapter needs the place");
    }
    return false;
}

/// Loads the models for which room was made.
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
        work.give_load(engine, model->name, "room was made for the model");
    }
}

void weight_planner::place_missing_models(plan_workspace& work, bool only_waiting) const
{
    std::vector<std::pair<double, const state::hosted_model*>> missing;
    for (const state::hosted_model& model : work.profile.models)
    {
        const bool is_waited_for = work.waiting(model.name) > 0;
        if (work.model_copies(model.name) == 0 && (is_waited_for || !only_waiting))
            missing.emplace_back(work.model_rate(model.name), &model);
    }
    std::stable_sort(missing.begin(), missing.end(),
                     [](const auto& left, const auto& right)
                     { return left.first > right.first; });
    for (const auto& [rate, model] : missing)
    {
        if (!only_waiting && work.changing >= most_idle_restores)
            return;
        load_missing(work, *model);
    }
}

/// Loads a model that no engine holds where that costs least: on an engine with room,
/// else on one with a model that others hold as well, which is unloaded first.
bool weight_planner::load_missing(plan_workspace& work, const state::hosted_model& wanted)
{
    constexpr double victim_cost = 10.0;
    constexpr double store_cost = 20.0;
    const auto cost_of =
        [](const planned_engine& engine, const load_place& place, bool from_store)
    {
        return engine.active + (from_store ? store_cost : 0.0) +
               (place.victim == nullptr ? 0.0 : victim_cost);
    };
    const double any_weight = std::numeric_limits<double>::infinity();
    return work.load_at(work.cheapest_place(wanted, any_weight, cost_of), wanted.name,
                        "no engine holds the model");
}

/// Gives a copy to the model whose copies carry most, at the cost of the model that can
/// spare one best.
void weight_planner::balance_models(plan_workspace& work) const
{
    const auto most =
        static_cast<int>(most_changing_share * static_cast<double>(work.engines.size()));
    while (work.changing < most)
    {
        const state::hosted_model* wanted = nullptr;
        for (const state::hosted_model& model : work.profile.models)
        {
            const int copies = work.model_copies(model.name);
            const bool is_candidate =
                copies > 0 && copies < static_cast<int>(work.engines.size());
            if (is_candidate &&
                (wanted == nullptr || work.need(model) > work.need(*wanted)))
                wanted = &model;
        }
        if (wanted == nullptr || !move_copy(work, *wanted))
            return;
    }
}

/// Returns whether a copy of `wanted` is loaded, or room is made for one.
bool weight_planner::move_copy(plan_workspace& work, const state::hosted_model& wanted)
{
    const double need = work.need(wanted);
    if (need < easy_weight)
        return false;
    const auto cost_of = [&work, need](const planned_engine& engine,
                                       const load_place& place, bool from_store)
    {
        return place.victim_weight + work.engine_weight(engine) +
               (from_store ? need * store_load_cost : 0.0);
    };
    return work.load_at(work.cheapest_place(wanted, need / move_gain, cost_of),
                        wanted.name, "the model is in demand");
}

/// Loads an adapter on a second engine if the one that holds it has far more to do than
/// another that holds the model.
void weight_planner::copy_busy_adapters(plan_workspace& work) const
{
    for (const auto& [name, rate] : work.demand)
    {
        if (name.service != work.service || name.adapter.empty())
            continue;
        double least_held = std::numeric_limits<double>::infinity();
        planned_engine* best = nullptr;
        for (planned_engine& engine : work.engines)
        {
            if (engine.holds_adapter(name.model, name.adapter))
                least_held = std::min(least_held, engine.active);
            else if (!engine.is_busy && engine.holds_model(name.model) &&
                     (best == nullptr || engine.active < best->active))
                best = &engine;
        }
        const bool is_held = least_held < std::numeric_limits<double>::infinity();
        if (!is_held || best == nullptr || best->active + adapter_copy_gap > least_held)
            continue;
        if (make_adapter_place(work, *best))
        {
            work.give(*best, plan_operation::load_adapter, name.model, name.adapter,
                      false, "the engine with the adapter is busy");
        }
    }
}

void weight_planner::fill_adapter_places(plan_workspace& work) const
{
    for (const state::hosted_model& model : work.profile.models)
    {
        for (const std::string& adapter : model.adapters)
        {
            if (work.adapter_copies(model.name, adapter) > 0)
                continue;
            planned_engine* best = nullptr;
            for (planned_engine& engine : work.engines)
            {
                if (engine.is_busy || !engine.holds_model(model.name) ||
                    engine.adapter_count() >= work.profile.adapter_slots)
                    continue;
                if (best == nullptr || engine.adapter_count() < best->adapter_count())
                    best = &engine;
            }
            if (best != nullptr)
            {
                work.give(*best, plan_operation::load_adapter, model.name, adapter, false,
                          "a free place");
            }
        }
    }
}

} // namespace pomelorouter::coordination
