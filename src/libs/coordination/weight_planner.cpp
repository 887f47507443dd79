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

/// Share of the last seconds in the demand that models are placed for; the rest is the
/// usual demand.
constexpr double present_share = 0.75;
/// Demand that is assumed before any was seen, in prompt tokens a second.
constexpr double first_tokens_per_s = 20000.0;
/// Share of all demand that each model is kept ready for.
constexpr double plain_reserve = 0.002;
/// Copies that a model is kept ready with which may come into demand: one with adapters,
/// or one of the first in the operator's list.
constexpr int reserve_copies = 3;
constexpr std::size_t listed_first_divisor = 6;
/// What a missing copy of the reserve counts as, in prompt tokens a second.
constexpr double reserve_weight = 5000.0;
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

    void count_copies()
    {
        for (const state::hosted_model& model : this->profile.models)
            this->hosted[model.name] = &model;
        for (const planned_engine& engine : this->engines)
        {
            this->changing += !engine.loading.empty() || !engine.reserved.empty() ? 1 : 0;
            if (!engine.loading.empty() && !holds_model(engine, engine.loading))
                ++this->copies[engine.loading];
            for (const state::loaded_model& item : engine.models)
            {
                ++this->held[item.name];
                ++this->copies[item.name];
                for (const std::string& adapter : item.adapters)
                    ++this->adapter_held[item.name][adapter];
            }
        }
    }

    weight_rate rate_of(const std::string& model, const std::string& adapter) const
    {
        const auto found = this->demand.find({this->service, model, adapter});
        return found == this->demand.end() ? weight_rate{} : found->second;
    }

    void weigh_models()
    {
        double total = 0.0;
        for (const auto& [name, rate] : this->demand)
        {
            if (name.service != this->service)
                continue;
            weight_rate& model_rate = this->model_rates[name.model];
            model_rate.per_s += rate.per_s;
            model_rate.waiting += rate.waiting;
            const double tokens = rate.tokens_per_s * present_share +
                                  rate.usual_tokens_per_s * (1.0 - present_share);
            this->weights[name.model] += tokens;
            total += tokens;
        }
        int all_copies = 0;
        for (const auto& [name, count] : this->first_copies)
            all_copies += count;
        const double unseen = std::max(0.0, first_tokens_per_s - total);
        for (const auto& [name, count] : this->first_copies)
            this->weights[name] += unseen * count / std::max(all_copies, 1);
        total += unseen;
        for (const state::hosted_model& model : this->profile.models)
        {
            this->weights[model.name] += total * plain_reserve;
        }
    }

    /// Demand that one copy of a model has to carry, with `change` more copies.
    double weight_per_copy(const std::string& model, int change = 0) const
    {
        const auto found = this->weights.find(model);
        const int count = this->model_copies(model) + change;
        if (count <= 0)
            return std::numeric_limits<double>::infinity();
        return found == this->weights.end() ? 0.0 : found->second / count;
    }

    /// Demand that one copy of a model has to carry, or what its missing reserve counts
    /// as.
    double need(const state::hosted_model& model) const
    {
        const auto position =
            static_cast<std::size_t>(&model - this->profile.models.data());
        const bool is_listed_first =
            position < this->profile.models.size() / listed_first_divisor + 1;
        const bool lacks_reserve = (is_listed_first || !model.adapters.empty()) &&
                                   this->model_copies(model.name) < reserve_copies;
        return std::max(this->weight_per_copy(model.name),
                        lacks_reserve ? reserve_weight : 0.0);
    }

    /// Demand that an engine has to carry with all its models.
    double engine_weight(const planned_engine& engine) const
    {
        double sum = 0.0;
        for (const state::loaded_model& item : engine.models)
            sum += this->weight_per_copy(item.name);
        if (!engine.loading.empty())
            sum += this->weight_per_copy(engine.loading);
        return sum;
    }

    const state::hosted_model* find_model(std::string_view name) const
    {
        const auto found = this->hosted.find(name);
        return found == this->hosted.end() ? nullptr : found->second;
    }

    static int count_in(const std::map<std::string, int>& counts, const std::string& name)
    {
        const auto found = counts.find(name);
        return found == counts.end() ? 0 : found->second;
    }

    int held_copies(const std::string& model) const
    {
        return count_in(this->held, model);
    }

    int model_copies(const std::string& model) const
    {
        return count_in(this->copies, model);
    }

    int adapter_copies(const std::string& model, const std::string& adapter) const
    {
        const auto found = this->adapter_held.find(model);
        return found == this->adapter_held.end() ? 0 : count_in(found->second, adapter);
    }

    /// Requests a second for a model with all its adapters.
    double model_rate(const std::string& model) const
    {
        const auto found = this->model_rates.find(model);
        return found == this->model_rates.end()
                   ? 0.0
                   : found->second.per_s + found->second.waiting;
    }

    double used_mb(const planned_engine& engine) const
    {
        double used = 0.0;
        const auto add = [this, &used](std::string_view name, std::size_t adapters)
        {
            const state::hosted_model* const model = this->find_model(name);
            if (model == nullptr)
                return;
            used += model->weight_mb + model->adapter_mb * static_cast<double>(adapters);
        };
        for (const state::loaded_model& item : engine.models)
            add(item.name, item.adapters.size());
        if (!engine.loading.empty())
            add(engine.loading, 0);
        return used;
    }

    bool has_room(const planned_engine& engine, const state::hosted_model& model) const
    {
        return this->used_mb(engine) + model.weight_mb <= this->profile.weight_mb;
    }

    std::uint32_t waiting(const std::string& model) const
    {
        const auto found = this->model_rates.find(model);
        return found == this->model_rates.end() ? 0 : found->second.waiting;
    }

    /// The model of the engine that is missed least, of those that others hold as well;
    /// null if none is below `weight`, which is set to that of the one returned.
    const std::string* least_needed(const planned_engine& engine, double& weight) const
    {
        const std::string* result = nullptr;
        for (const state::loaded_model& item : engine.models)
        {
            if (this->held_copies(item.name) < 2)
                continue;
            const double rest = this->weight_per_copy(item.name, -1);
            if (rest >= weight)
                continue;
            weight = rest;
            result = &item.name;
        }
        return result;
    }

    void give_unload(planned_engine& engine, const std::string& model,
                     const std::string& room_for)
    {
        const std::string victim = model;
        this->give(engine, plan_operation::unload_model, victim, "", false,
                   "another model needs the memory");
        this->orders.back().room_for = room_for;
        this->changing += engine.reserved.empty() && engine.loading.empty() ? 1 : 0;
        engine.reserved = room_for;
        // The copy is lost for the rest of the round as well.
        const auto lost = std::find_if(engine.models.begin(), engine.models.end(),
                                       [&victim](const state::loaded_model& item)
                                       { return item.name == victim; });
        --this->held[victim];
        --this->copies[victim];
        for (const std::string& adapter : lost->adapters)
            --this->adapter_held[victim][adapter];
        engine.models.erase(lost);
    }

    void give_load(planned_engine& engine, const std::string& model,
                   std::string_view reason)
    {
        const bool from_store = engine.cached.count(model) == 0;
        this->store_loads -= from_store ? 1 : 0;
        this->give(engine, plan_operation::load_model, model, "", from_store, reason);
        this->changing += engine.reserved.empty() && engine.loading.empty() ? 1 : 0;
        engine.loading = model;
        engine.reserved.clear();
        ++this->copies[model];
    }

    void give(planned_engine& engine, plan_operation operation, const std::string& model,
              const std::string& adapter, bool from_store, std::string_view reason)
    {
        engine.is_busy = true;
        this->orders.push_back(
            {engine.id, operation, model, adapter, "", from_store, reason});
    }
};

std::vector<planned_order>
weight_planner::plan(const state::engine_profile& profile,
                     std::vector<planned_engine> engines, const std::string& service,
                     const weight_demand::rates& demand,
                     const std::map<std::string, int>& first_copies, int store_loads,
                     bool is_settled) const
{
    workspace work{profile, engines, service, demand, first_copies, store_loads};
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
            work.give(*best, plan_operation::load_adapter, name.model, name.adapter,
                      false, "requests wait for the adapter");
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

/// Loads the models for which room was made.
void weight_planner::load_reserved_models(workspace& work) const
{
    for (planned_engine& engine : work.engines)
    {
        if (engine.reserved.empty() || engine.is_busy)
            continue;
        const state::hosted_model* const model = work.find_model(engine.reserved);
        const bool from_store = engine.cached.count(engine.reserved) == 0;
        if (model == nullptr || holds_model(engine, engine.reserved) ||
            (from_store && work.store_loads <= 0) || !work.has_room(engine, *model))
            continue;
        work.give_load(engine, model->name, "room was made for the model");
    }
}

void weight_planner::place_missing_models(workspace& work, bool only_waiting) const
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
bool weight_planner::load_missing(workspace& work, const state::hosted_model& wanted)
{
    planned_engine* best = nullptr;
    const std::string* victim = nullptr;
    double best_cost = std::numeric_limits<double>::infinity();
    constexpr double victim_cost = 10.0;
    constexpr double store_cost = 20.0;
    for (planned_engine& engine : work.engines)
    {
        if (engine.is_busy || !engine.reserved.empty() ||
            holds_model(engine, wanted.name))
            continue;
        const bool from_store = engine.cached.count(wanted.name) == 0;
        if (from_store && work.store_loads <= 0)
            continue;
        double cost = engine.active + (from_store ? store_cost : 0.0);
        const std::string* unload = nullptr;
        if (!work.has_room(engine, wanted))
        {
            double lowest = std::numeric_limits<double>::infinity();
            unload = work.least_needed(engine, lowest);
            if (unload == nullptr)
                continue;
            cost += victim_cost;
        }
        if (cost >= best_cost)
            continue;
        best_cost = cost;
        best = &engine;
        victim = unload;
    }
    if (best == nullptr)
        return false;
    if (victim == nullptr)
        work.give_load(*best, wanted.name, "no engine holds the model");
    else
        work.give_unload(*best, *victim, wanted.name);
    return true;
}

/// Gives a copy to the model whose copies carry most, at the cost of the model that can
/// spare one best.
void weight_planner::balance_models(workspace& work) const
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
bool weight_planner::move_copy(workspace& work, const state::hosted_model& wanted)
{
    const double need = work.need(wanted);
    if (need < easy_weight)
        return false;
    planned_engine* best = nullptr;
    const std::string* victim = nullptr;
    double best_cost = std::numeric_limits<double>::infinity();
    for (planned_engine& engine : work.engines)
    {
        if (engine.is_busy || !engine.reserved.empty() ||
            holds_model(engine, wanted.name))
            continue;
        const bool from_store = engine.cached.count(wanted.name) == 0;
        if (from_store && work.store_loads <= 0)
            continue;
        const std::string* spare = nullptr;
        double spare_weight = 0.0;
        if (!work.has_room(engine, wanted))
        {
            spare_weight = need / move_gain;
            spare = work.least_needed(engine, spare_weight);
            if (spare == nullptr)
                continue;
        }
        const double cost = spare_weight + work.engine_weight(engine) +
                            (from_store ? need * store_load_cost : 0.0);
        if (cost >= best_cost)
            continue;
        best_cost = cost;
        best = &engine;
        victim = spare;
    }
    if (best == nullptr)
        return false;
    if (victim == nullptr)
        work.give_load(*best, wanted.name, "the model is in demand");
    else
        work.give_unload(*best, *victim, wanted.name);
    return true;
}

/// Loads an adapter on a second engine if the one that holds it has far more to do than
/// another that holds the model.
void weight_planner::copy_busy_adapters(workspace& work) const
{
    for (const auto& [name, rate] : work.demand)
    {
        if (name.service != work.service || name.adapter.empty())
            continue;
        double least_held = std::numeric_limits<double>::infinity();
        planned_engine* best = nullptr;
        for (planned_engine& engine : work.engines)
        {
            if (holds_adapter(engine, name.model, name.adapter))
                least_held = std::min(least_held, engine.active);
            else if (!engine.is_busy && holds_model(engine, name.model) &&
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
