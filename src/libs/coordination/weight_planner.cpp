#include "coordination/weight_planner.hpp"

#include "state/enum_table.hpp"

#include <algorithm>
#include <limits>

namespace pomelorouter::coordination
{

namespace
{

constexpr std::array<state::enum_name<plan_operation>, 4> operation_names{{
    {plan_operation::load_model, "load_model"},
    {plan_operation::unload_model, "unload_model"},
    {plan_operation::load_adapter, "load_adapter"},
    {plan_operation::unload_adapter, "unload_adapter"},
}};

bool holds_model(const planned_engine& engine, std::string_view model)
{
    return std::any_of(engine.models.begin(), engine.models.end(),
                       [model](const state::loaded_model& item)
                       { return item.name == model; });
}

bool holds_adapter(const planned_engine& engine, std::string_view model,
                   std::string_view adapter)
{
    for (const state::loaded_model& item : engine.models)
    {
        if (item.name == model)
            return std::find(item.adapters.begin(), item.adapters.end(), adapter) !=
                   item.adapters.end();
    }
    return false;
}

int adapter_count(const planned_engine& engine)
{
    std::size_t count = 0;
    for (const state::loaded_model& item : engine.models)
        count += item.adapters.size();
    return static_cast<int>(count);
}

} // namespace

std::string_view to_string(plan_operation operation)
{
    return name_of(operation_names, operation);
}

/// What one round of planning works on; engines that were given an order are busy.
struct weight_planner::workspace
{
    const state::engine_profile& profile;
    std::vector<planned_engine>& engines;
    const std::string& service;
    const weight_demand::rates& demand;
    int store_loads;
    std::vector<planned_order> orders;

    weight_rate rate_of(const std::string& model, const std::string& adapter) const
    {
        const auto found = this->demand.find({this->service, model, adapter});
        return found == this->demand.end() ? weight_rate{} : found->second;
    }

    /// Requests a second for a model with all its adapters.
    double model_rate(const std::string& model) const
    {
        double total = 0.0;
        for (const auto& [name, rate] : this->demand)
        {
            if (name.service == this->service && name.model == model)
                total += rate.per_s + rate.waiting;
        }
        return total;
    }

    int model_copies(const std::string& model) const
    {
        return static_cast<int>(std::count_if(
            this->engines.begin(), this->engines.end(),
            [&model](const planned_engine& engine)
            { return holds_model(engine, model) || engine.loading == model; }));
    }

    int adapter_copies(const std::string& model, const std::string& adapter) const
    {
        return static_cast<int>(std::count_if(
            this->engines.begin(), this->engines.end(),
            [&](const planned_engine& engine)
            { return holds_adapter(engine, model, adapter); }));
    }

    double used_mb(const planned_engine& engine) const
    {
        double used = 0.0;
        const auto add = [this, &used](std::string_view name, std::size_t adapters)
        {
            const state::hosted_model* const model = this->profile.find_model(name);
            if (model == nullptr)
                return;
            used += model->weight_mb +
                    model->adapter_mb * static_cast<double>(adapters);
        };
        for (const state::loaded_model& item : engine.models)
            add(item.name, item.adapters.size());
        if (!engine.loading.empty())
            add(engine.loading, 0);
        return used;
    }

    void give(planned_engine& engine, plan_operation operation, const std::string& model,
              const std::string& adapter, bool from_store, std::string_view reason)
    {
        engine.is_busy = true;
        this->orders.push_back({engine.id, operation, model, adapter, from_store, reason});
    }
};

std::vector<planned_order> weight_planner::plan(const state::engine_profile& profile,
                                                std::vector<planned_engine> engines,
                                                const std::string& service,
                                                const weight_demand::rates& demand,
                                                int store_loads,
                                                bool is_settled) const
{
    workspace work{profile, engines, service, demand, store_loads, {}};
    this->place_waiting_adapters(work);
    if (is_settled)
        this->place_missing_models(work);
    this->fill_adapter_places(work);
    return std::move(work.orders);
}

void weight_planner::place_waiting_adapters(workspace& work) const
{
    for (const auto& [name, rate] : work.demand)
    {
        if (name.service != work.service || name.adapter.empty() || rate.waiting == 0 ||
            work.adapter_copies(name.model, name.adapter) > 0)
            continue;
        planned_engine* best = nullptr;
        for (planned_engine& engine : work.engines)
        {
            if (engine.is_busy || !holds_model(engine, name.model))
                continue;
            if (best == nullptr || engine.active < best->active)
                best = &engine;
        }
        if (best != nullptr && make_adapter_place(work, *best))
        {
            work.give(*best, plan_operation::load_adapter, name.model, name.adapter, false,
                      "requests wait for the adapter");
        }
    }
}

/// Returns whether the engine has a free place for an adapter. If not, the adapter with
/// the least demand is unloaded, and the place is free in a later round.
bool weight_planner::make_adapter_place(workspace& work, planned_engine& engine)
{
    if (adapter_count(engine) < work.profile.adapter_slots)
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

void weight_planner::place_missing_models(workspace& work) const
{
    std::vector<std::pair<double, const state::hosted_model*>> missing;
    for (const state::hosted_model& model : work.profile.models)
    {
        if (work.model_copies(model.name) == 0)
            missing.emplace_back(work.model_rate(model.name), &model);
    }
    std::stable_sort(missing.begin(), missing.end(),
                     [](const auto& left, const auto& right)
                     { return left.first > right.first; });
    for (const auto& [rate, model] : missing)
        load_model(work, model->name, "no engine holds the model");
}

/// Loads a model on the engine where that costs least: one with room, else one that holds
/// a model of which others hold copies, which is unloaded first.
bool weight_planner::load_model(workspace& work, const std::string& model,
                                std::string_view reason)
{
    const state::hosted_model* const wanted = work.profile.find_model(model);
    planned_engine* best = nullptr;
    const std::string* victim = nullptr;
    double best_cost = std::numeric_limits<double>::infinity();
    constexpr double victim_cost = 10.0;
    constexpr double store_cost = 20.0;
    for (planned_engine& engine : work.engines)
    {
        if (engine.is_busy || holds_model(engine, model))
            continue;
        const bool from_store = engine.cached.count(model) == 0;
        if (from_store && work.store_loads <= 0)
            continue;
        double cost = engine.active + (from_store ? store_cost : 0.0);
        const std::string* unload = nullptr;
        if (work.used_mb(engine) + wanted->weight_mb > work.profile.weight_mb)
        {
            double lowest = std::numeric_limits<double>::infinity();
            for (const state::loaded_model& item : engine.models)
            {
                const int copies = work.model_copies(item.name);
                if (copies < 2)
                    continue;
                const double value = work.model_rate(item.name) / copies;
                if (value >= lowest)
                    continue;
                lowest = value;
                unload = &item.name;
            }
            if (unload == nullptr)
                continue;
            cost += victim_cost + lowest;
        }
        if (cost >= best_cost)
            continue;
        best_cost = cost;
        best = &engine;
        victim = unload;
    }
    if (best == nullptr)
        return false;
    if (victim != nullptr)
    {
        work.give(*best, plan_operation::unload_model, *victim, "", false,
                  "another model needs the memory");
        return true;
    }
    const bool from_store = best->cached.count(model) == 0;
    work.store_loads -= from_store ? 1 : 0;
    work.give(*best, plan_operation::load_model, model, "", from_store, reason);
    best->loading = model;
    return true;
}

void weight_planner::fill_adapter_places(workspace& work) const
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
                if (engine.is_busy || !holds_model(engine, model.name) ||
                    adapter_count(engine) >= work.profile.adapter_slots)
                    continue;
                if (best == nullptr || adapter_count(engine) < adapter_count(*best))
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
