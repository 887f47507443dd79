#include "coordination/plan_workspace.hpp"

#include <algorithm>
#include <limits>

namespace pomelorouter::coordination::internal
{

namespace
{

/// Share of the recent demand in the demand that models are placed for; the rest is
/// the long-term demand.
constexpr double recent_share = 0.75;
/// Total demand that is assumed at start, in prompt tokens per second.
constexpr double initial_tokens_per_s = 20000.0;
/// Share of the total demand that every model is kept ready for, even without requests.
constexpr double min_demand_share = 0.002;
/// Minimum number of copies of models for which demand is likely: models with adapters
/// and the first models in the list of the operator.
constexpr int reserve_copies = 3;
constexpr std::size_t listed_first_divisor = 6;
/// Placement priority of a model with too few copies, in prompt tokens per second.
constexpr double missing_reserve_demand = 5000.0;

int count_in(const std::map<std::string, int>& counts, const std::string& name)
{
    const auto found = counts.find(name);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

void plan_workspace::count_copies()
{
    for (const state::hosted_model& model : this->profile.models)
        this->hosted[model.name] = &model;
    for (planned_engine& engine : this->engines)
    {
        this->changing += !engine.loading.empty() || !engine.reserved.empty() ? 1 : 0;
        if (!engine.loading.empty() && !engine.holds_model(engine.loading))
            ++this->copies[engine.loading];
        for (const state::loaded_model& item : engine.models)
        {
            // The key refers to the profile, since an unload removes the engine's item.
            const state::hosted_model* const model = this->find_model(item.name);
            if (model != nullptr)
                this->holders[model->name].push_back(&engine);
            ++this->held[item.name];
            ++this->copies[item.name];
            for (const std::string& adapter : item.adapters)
                ++this->adapter_held[item.name][adapter];
        }
    }
}

weight_rate plan_workspace::rate_of(const std::string& model,
                                    const std::string& adapter) const
{
    const auto found = this->demand.find({this->service, model, adapter});
    return found == this->demand.end() ? weight_rate{} : found->second;
}

void plan_workspace::estimate_demand()
{
    double total = 0.0;
    for (const auto& [name, rate] : this->demand)
    {
        if (name.service != this->service)
            continue;
        weight_rate& model_rate = this->model_rates[name.model];
        model_rate.per_s += rate.per_s;
        model_rate.waiting += rate.waiting;
        const double tokens = rate.tokens_per_s * recent_share +
                              rate.usual_tokens_per_s * (1.0 - recent_share);
        this->model_demand[name.model] += tokens;
        total += tokens;
    }
    int all_copies = 0;
    for (const auto& [name, count] : this->initial_copies)
        all_copies += count;
    const double unobserved = std::max(0.0, initial_tokens_per_s - total);
    for (const auto& [name, count] : this->initial_copies)
        this->model_demand[name] += unobserved * count / std::max(all_copies, 1);
    total += unobserved;
    for (const state::hosted_model& model : this->profile.models)
    {
        this->model_demand[model.name] += total * min_demand_share;
    }
}

double plan_workspace::demand_per_copy(const std::string& model, int change) const
{
    const auto found = this->model_demand.find(model);
    const int count = this->model_copies(model) + change;
    if (count <= 0)
        return std::numeric_limits<double>::infinity();
    return found == this->model_demand.end() ? 0.0 : found->second / count;
}

double plan_workspace::placement_priority(const state::hosted_model& model) const
{
    const auto position = static_cast<std::size_t>(&model - this->profile.models.data());
    const bool is_listed_first =
        position < this->profile.models.size() / listed_first_divisor + 1;
    const bool lacks_reserve = (is_listed_first || !model.adapters.empty()) &&
                               this->model_copies(model.name) < reserve_copies;
    return std::max(this->demand_per_copy(model.name),
                    lacks_reserve ? missing_reserve_demand : 0.0);
}

double plan_workspace::engine_demand(const planned_engine& engine) const
{
    double sum = 0.0;
    for (const state::loaded_model& item : engine.models)
        sum += this->demand_per_copy(item.name);
    if (!engine.loading.empty())
        sum += this->demand_per_copy(engine.loading);
    return sum;
}

const state::hosted_model* plan_workspace::find_model(std::string_view name) const
{
    const auto found = this->hosted.find(name);
    return found == this->hosted.end() ? nullptr : found->second;
}

const std::vector<planned_engine*>&
plan_workspace::holders_of(std::string_view model) const
{
    static const std::vector<planned_engine*> none;
    const auto found = this->holders.find(model);
    return found == this->holders.end() ? none : found->second;
}

int plan_workspace::held_copies(const std::string& model) const
{
    return count_in(this->held, model);
}

int plan_workspace::model_copies(const std::string& model) const
{
    return count_in(this->copies, model);
}

int plan_workspace::adapter_copies(const std::string& model,
                                   const std::string& adapter) const
{
    const auto found = this->adapter_held.find(model);
    return found == this->adapter_held.end() ? 0 : count_in(found->second, adapter);
}

double plan_workspace::model_rate(const std::string& model) const
{
    const auto found = this->model_rates.find(model);
    return found == this->model_rates.end() ? 0.0
                                            : found->second.per_s + found->second.waiting;
}

double plan_workspace::used_mb(const planned_engine& engine) const
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

bool plan_workspace::has_room(const planned_engine& engine,
                              const state::hosted_model& model) const
{
    return this->used_mb(engine) + model.weight_mb <= this->profile.weight_mb;
}

std::uint32_t plan_workspace::waiting(const std::string& model) const
{
    const auto found = this->model_rates.find(model);
    return found == this->model_rates.end() ? 0 : found->second.waiting;
}

const std::string* plan_workspace::find_victim(const planned_engine& engine,
                                               double& demand_limit) const
{
    const std::string* result = nullptr;
    for (const state::loaded_model& item : engine.models)
    {
        if (this->held_copies(item.name) < 2)
            continue;
        const double remaining = this->demand_per_copy(item.name, -1);
        if (remaining >= demand_limit)
            continue;
        demand_limit = remaining;
        result = &item.name;
    }
    return result;
}

void plan_workspace::order_unload(planned_engine& engine, const std::string& model,
                                  const std::string& room_for)
{
    const std::string victim = model;
    this->add_order(engine, plan_operation::unload_model, victim, "", false,
                    "another model needs the memory");
    this->orders.back().room_for = room_for;
    this->changing += engine.reserved.empty() && engine.loading.empty() ? 1 : 0;
    engine.reserved = room_for;
    // The copy is not available for the rest of the planning round.
    const auto unloaded = std::find_if(engine.models.begin(), engine.models.end(),
                                       [&victim](const state::loaded_model& item)
                                       { return item.name == victim; });
    --this->held[victim];
    --this->copies[victim];
    for (const std::string& adapter : unloaded->adapters)
        --this->adapter_held[victim][adapter];
    engine.models.erase(unloaded);
}

void plan_workspace::order_load(planned_engine& engine, const std::string& model,
                                std::string_view reason)
{
    const bool from_store = engine.cached.count(model) == 0;
    this->store_loads -= from_store ? 1 : 0;
    this->add_order(engine, plan_operation::load_model, model, "", from_store, reason);
    this->changing += engine.reserved.empty() && engine.loading.empty() ? 1 : 0;
    engine.loading = model;
    engine.reserved.clear();
    ++this->copies[model];
}

load_target plan_workspace::cheapest_target(const state::hosted_model& wanted,
                                            double victim_limit, const load_cost& cost_of)
{
    load_target best;
    double best_cost = std::numeric_limits<double>::infinity();
    for (planned_engine& engine : this->engines)
    {
        if (engine.is_busy || !engine.reserved.empty() || engine.holds_model(wanted.name))
            continue;
        const bool from_store = engine.cached.count(wanted.name) == 0;
        if (from_store && this->store_loads <= 0)
            continue;
        load_target target{&engine};
        if (!this->has_room(engine, wanted))
        {
            target.victim_demand = victim_limit;
            target.victim = this->find_victim(engine, target.victim_demand);
            if (target.victim == nullptr)
                continue;
        }
        const double cost = cost_of(engine, target, from_store);
        if (cost >= best_cost)
            continue;
        best_cost = cost;
        best = target;
    }
    return best;
}

bool plan_workspace::order_load_at(const load_target& target, const std::string& model,
                                   std::string_view reason)
{
    if (target.engine == nullptr)
        return false;
    if (target.victim == nullptr)
        this->order_load(*target.engine, model, reason);
    else
        this->order_unload(*target.engine, *target.victim, model);
    return true;
}

void plan_workspace::add_order(planned_engine& engine, plan_operation operation,
                               const std::string& model, const std::string& adapter,
                               bool from_store, std::string_view reason)
{
    engine.is_busy = true;
    this->orders.push_back(
        {engine.id, operation, model, adapter, "", from_store, reason});
}

} // namespace pomelorouter::coordination::internal
