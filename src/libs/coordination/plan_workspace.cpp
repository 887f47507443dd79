#include "coordination/plan_workspace.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <utility>

namespace pomelorouter::coordination::internal
{

namespace
{

/// Share of the recent demand in the demand that models are placed for while it falls;
/// the rest is the long-term demand. A lull does not end a model's copies at once.
constexpr double recent_share = 0.75;
/// Time constants of the recent and the long-term rates of `weight_demand`.
constexpr double recent_window_s = 1.2;
constexpr double usual_window_s = 20.0;
/// A change counts from this many standard deviations of the number of recent requests.
constexpr double significant_deviations = 2.5;
/// Growth from this multiple of the median on is not shared by the other models.
constexpr double max_usual_growth = 2.0;
/// Upper bound on a forecast, as a multiple of the recent demand.
constexpr double max_forecast_ratio = 1.5;
/// Requests that wait for capacity are to be worked off within this time.
constexpr double backlog_time_s = 2.0;
/// Load of the engines that is assumed at start, as a share of their time.
constexpr double initial_load = 0.055;
/// Share of the total demand that all models together are kept ready for, even without
/// requests.
constexpr double idle_demand_share = 0.06;
/// Minimum number of copies of models for which demand is likely: models with adapters
/// and the first models in the list of the operator.
constexpr int reserve_copies = 3;
constexpr std::size_t listed_first_divisor = 6;
/// One copy in this many may be such a reserve. More would replace copies of models that
/// are known to be in demand.
constexpr std::size_t reserve_divisor = 8;
/// Level that is assumed for the engines of a model without its reserve.
constexpr double missing_reserve_load = 0.25;
/// A model that puts less load on each of its engines is not copied: another model of
/// these engines causes their load.
constexpr double min_copied_load = 0.03;
/// Time from the order to unload a model to the load into the freed memory.
constexpr double unload_time_s = 1.0;
/// Requests for a victim that cause less load do not matter to the engines that take
/// them over.
constexpr double negligible_load = 0.01;

int count_in(const std::map<std::string, int>& counts, const std::string& name)
{
    const auto found = counts.find(name);
    return found == counts.end() ? 0 : found->second;
}

/// Returns the ratio of recent to long-term demand without the models and adapters whose
/// demand grows far more than that of most: it must not follow the growth of single ones.
double usual_growth(const weight_demand::rates& demand, const std::string& service)
{
    std::vector<std::pair<double, double>> ratios;
    double total = 0.0;
    for (const auto& [name, rate] : demand)
    {
        if (name.service != service || rate.usual_tokens_per_s <= 0.0)
            continue;
        ratios.emplace_back(rate.tokens_per_s / rate.usual_tokens_per_s,
                            rate.usual_tokens_per_s);
        total += rate.usual_tokens_per_s;
    }
    std::sort(ratios.begin(), ratios.end());
    double usual = 0.0;
    double recent = 0.0;
    double limit = std::numeric_limits<double>::infinity();
    for (const auto& [ratio, tokens] : ratios)
    {
        if (ratio > limit)
            break;
        usual += tokens;
        recent += ratio * tokens;
        if (usual * 2.0 >= total && std::isinf(limit))
            limit = ratio * max_usual_growth;
    }
    return usual > 0.0 ? recent / usual : 1.0;
}

/// Demand of one model or adapter, in prompt tokens per second. `fleet_growth` is the
/// growth of the demand for most models. Recent demand that differs
/// from the usual share by no more than chance does not count: copies would follow the
/// noise. Demand whose share grows is extended over the time of a load, so that a copy is
/// there when it is needed.
double expected_demand(const weight_rate& rate, double fleet_growth, double load_s)
{
    const double usual = rate.usual_tokens_per_s * fleet_growth;
    const double growth = rate.tokens_per_s - usual;
    const double requests = std::max(rate.per_s * recent_window_s, 1.0);
    const double tokens = std::max(rate.tokens_per_s, usual);
    const double noise = tokens * significant_deviations / std::sqrt(2.0 * requests);
    double demand = usual;
    if (growth > noise)
    {
        demand = std::min(rate.tokens_per_s + growth * load_s / usual_window_s,
                          rate.tokens_per_s * max_forecast_ratio);
    }
    else if (growth < -noise)
        demand = rate.tokens_per_s * recent_share + usual * (1.0 - recent_share);
    return demand + static_cast<double>(rate.queued_tokens) / backlog_time_s;
}

} // namespace

void plan_workspace::count_copies()
{
    std::size_t all_copies = 0;
    for (const planned_engine& engine : this->engines)
        all_copies += engine.models.size();
    std::size_t reserve = 0;
    for (const state::hosted_model& model : this->profile.models)
    {
        this->hosted[model.name] = &model;
        const auto position =
            static_cast<std::size_t>(&model - this->profile.models.data());
        const bool is_listed_first =
            position < this->profile.models.size() / listed_first_divisor + 1;
        if (!is_listed_first && model.adapters.empty())
            continue;
        // The operator's own placement has the reserve already.
        if (count_in(this->initial_copies, model.name) < reserve_copies)
            reserve += reserve_copies - 1;
        if (reserve <= all_copies / reserve_divisor)
            this->reserved_models.insert(model.name);
    }
    for (planned_engine& engine : this->engines)
    {
        const std::string& next =
            engine.loading.empty() ? engine.reserved : engine.loading;
        this->changing += next.empty() ? 0 : 1;
        if (!next.empty() && !engine.holds_model(next))
            ++this->copies[next];
        if (engine.loading.empty() && !engine.reserved.empty() &&
            engine.cached.count(engine.reserved) == 0)
            ++this->promised_loads;
        if (!engine.reserved_adapter.empty())
            this->promised_adapters.insert(engine.reserved_adapter);
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
    const double fleet_growth = usual_growth(this->demand, this->service);
    double total = 0.0;
    for (const auto& [name, rate] : this->demand)
    {
        if (name.service != this->service)
            continue;
        weight_rate& model_rate = this->model_rates[name.model];
        model_rate.per_s += rate.per_s;
        model_rate.waiting += rate.waiting;
        const state::hosted_model* const model = this->find_model(name.model);
        const double load_s =
            model == nullptr ? 0.0
                             : std::chrono::duration<double>(model->store_load).count();
        const double tokens = expected_demand(rate, fleet_growth, load_s);
        this->model_demand[name.model] += tokens;
        const bool is_held =
            !name.adapter.empty() && this->adapter_copies(name.model, name.adapter) > 0;
        if (is_held)
            this->adapter_demand[name] = tokens;
        else
            this->plain_demand[name.model] += tokens;
        total += tokens;
    }
    double capacity = 0.0;
    for (const planned_engine& engine : this->engines)
        capacity += engine.tokens_per_s;
    int all_copies = 0;
    for (const auto& [name, count] : this->initial_copies)
        all_copies += count;
    const double unobserved = std::max(0.0, initial_load * capacity - total);
    this->has_traffic = unobserved <= 0.0;
    const auto add = [this](const std::string& model, double tokens)
    {
        this->model_demand[model] += tokens;
        this->plain_demand[model] += tokens;
    };
    for (const auto& [name, count] : this->initial_copies)
        add(name, unobserved * count / std::max(all_copies, 1));
    total += unobserved;
    for (const state::hosted_model& model : this->profile.models)
    {
        add(model.name,
            total * idle_demand_share / static_cast<double>(this->profile.models.size()));
    }
}

void plan_workspace::estimate_loads()
{
    std::vector<double> speeds;
    std::map<std::string_view, std::vector<std::size_t>> model_engines;
    std::map<std::pair<std::string_view, std::string_view>, std::vector<std::size_t>>
        adapter_engines;
    for (const planned_engine& engine : this->engines)
    {
        const std::size_t index = speeds.size();
        speeds.push_back(std::max(engine.tokens_per_s, 1.0));
        for (const state::loaded_model& item : engine.models)
        {
            model_engines[item.name].push_back(index);
            for (const std::string& adapter : item.adapters)
                adapter_engines[{item.name, adapter}].push_back(index);
        }
        const std::string& next =
            engine.loading.empty() ? engine.reserved : engine.loading;
        if (!next.empty() && !engine.holds_model(next))
            model_engines[next].push_back(index);
    }
    this->spread = demand_spread(std::move(speeds));
    // Adapters are on few engines, so the requests without one go around them.
    for (const auto& [name, tokens] : this->adapter_demand)
    {
        this->adapter_flows[name] = this->spread.add_flow(
            tokens, std::move(adapter_engines[{name.model, name.adapter}]));
    }
    for (const state::hosted_model& model : this->profile.models)
    {
        this->model_flows[model.name] = this->spread.add_flow(
            this->plain_demand[model.name], std::move(model_engines[model.name]));
    }
    this->spread.balance();
    this->adapter_loads.resize(this->engines.size());
    for (const auto& [name, flow] : this->adapter_flows)
    {
        for (const auto& item : this->spread.shares(flow))
            this->adapter_loads[item.engine][name.model] += item.load;
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

double plan_workspace::crowding(const state::hosted_model& model) const
{
    const auto flow = this->model_flows.find(model.name);
    if (flow == this->model_flows.end())
        return 0.0;
    const bool lacks_reserve = this->reserved_models.count(model.name) > 0 &&
                               this->model_copies(model.name) < reserve_copies;
    const double reserve_load = lacks_reserve ? missing_reserve_load : 0.0;
    if (this->spread.load_of(this->demand_per_copy(model.name)) < min_copied_load)
        return reserve_load;
    return std::max(this->spread.level(flow->second), reserve_load);
}

std::size_t plan_workspace::index_of(const planned_engine& engine) const
{
    return static_cast<std::size_t>(&engine - this->engines.data());
}

double plan_workspace::engine_load(const planned_engine& engine) const
{
    return this->spread.load(this->index_of(engine));
}

double plan_workspace::load_share(const planned_engine& engine,
                                  const std::string& model) const
{
    const std::size_t index = this->index_of(engine);
    const auto flow = this->model_flows.find(model);
    double sum =
        flow == this->model_flows.end() ? 0.0 : this->spread.share(flow->second, index);
    const auto& by_model = this->adapter_loads[index];
    const auto found = by_model.find(model);
    return found == by_model.end() ? sum : sum + found->second;
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

bool plan_workspace::is_listed(const std::string& model, const std::string& adapter) const
{
    const state::hosted_model* const found = this->find_model(model);
    return found != nullptr && std::find(found->adapters.begin(), found->adapters.end(),
                                         adapter) != found->adapters.end();
}

weight_size plan_workspace::size_of(const planned_engine& engine,
                                    std::string_view model) const
{
    const state::hosted_model* const listed = this->find_model(model);
    const auto earlier = engine.sizes.find(model);
    weight_size size;
    if (listed == nullptr && earlier == engine.sizes.end())
        size.weight_mb = std::numeric_limits<double>::infinity();
    if (listed != nullptr)
        size = {listed->weight_mb, listed->adapter_mb};
    return earlier == engine.sizes.end() ? size : larger(size, earlier->second);
}

double plan_workspace::used_mb(const planned_engine& engine) const
{
    double used = 0.0;
    const auto add = [this, &engine, &used](std::string_view name, std::size_t adapters)
    {
        const weight_size size = this->size_of(engine, name);
        used += size.weight_mb + size.adapter_mb * static_cast<double>(adapters);
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

bool plan_workspace::has_adapter_room(const planned_engine& engine,
                                      const std::string& model, double freed_mb) const
{
    return this->used_mb(engine) - freed_mb + this->size_of(engine, model).adapter_mb <=
           this->profile.weight_mb;
}

bool plan_workspace::has_adapter_slot(const planned_engine& engine,
                                      const std::string& model) const
{
    return engine.adapter_count() < this->profile.adapter_slots &&
           this->has_adapter_room(engine, model);
}

std::uint32_t plan_workspace::waiting(const std::string& model) const
{
    const auto found = this->model_rates.find(model);
    return found == this->model_rates.end() ? 0 : found->second.waiting;
}

bool plan_workspace::find_victim(load_target& target, const move_limits& limits) const
{
    double lowest = std::numeric_limits<double>::infinity();
    const double engine_load = this->engine_load(*target.engine);
    for (const state::loaded_model& item : target.engine->models)
    {
        const int others = this->held_copies(item.name) - 1;
        if (others < 1)
            continue;
        const double remaining =
            this->spread.load_of(this->demand_per_copy(item.name, -1));
        if (remaining >= limits.victim_demand || remaining >= lowest)
            continue;
        const double share = this->load_share(*target.engine, item.name);
        const auto flow = this->model_flows.find(item.name);
        double victim_load = 0.0;
        if (share >= negligible_load && flow != this->model_flows.end())
            victim_load = this->spread.level(flow->second) + share / others;
        if (victim_load >= limits.resulting_load ||
            engine_load - share >= limits.resulting_load)
            continue;
        lowest = remaining;
        target.victim = &item.name;
        target.victim_load = victim_load;
        target.engine_load = engine_load - share;
    }
    return target.victim != nullptr;
}

/// Memory that is freed before the weight store allows the load is lost to both models.
bool plan_workspace::may_promise_load() const
{
    const double loads = this->store_loads + this->profile.loads_per_s * unload_time_s;
    return this->promised_loads + 1 <= loads;
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
    this->promised_loads += engine.cached.count(room_for) == 0 ? 1 : 0;
    ++this->copies[room_for];
    const std::size_t index = this->index_of(engine);
    // An engine may hold a model that the operator has removed.
    const auto flow = this->model_flows.find(victim);
    if (flow != this->model_flows.end())
        this->spread.remove_engine(flow->second, index);
    this->spread.add_engine(this->model_flows.at(room_for), index);
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
    if (engine.reserved == model)
    {
        this->promised_loads -= from_store ? 1 : 0;
    }
    else
    {
        ++this->copies[model];
        this->spread.add_engine(this->model_flows.at(model), this->index_of(engine));
    }
    engine.reserved.clear();
}

load_target plan_workspace::cheapest_target(const state::hosted_model& wanted,
                                            const move_limits& limits,
                                            const load_cost& cost_of)
{
    load_target best;
    double best_cost = std::numeric_limits<double>::infinity();
    for (planned_engine& engine : this->engines)
    {
        if (engine.is_busy || !engine.reserved.empty() || engine.holds_model(wanted.name))
            continue;
        // To free memory of an engine that holds a model of unknown size is no use.
        const double used = this->used_mb(engine);
        if (std::isinf(used))
            continue;
        const bool from_store = engine.cached.count(wanted.name) == 0;
        load_target target{&engine};
        target.engine_load = this->engine_load(engine);
        const bool has_room = used + wanted.weight_mb <= this->profile.weight_mb;
        if (from_store && (has_room ? this->store_loads <= 0 : !this->may_promise_load()))
            continue;
        if (has_room)
        {
            if (target.engine_load >= limits.resulting_load)
                continue;
        }
        else if (!this->find_victim(target, limits))
            continue;
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
