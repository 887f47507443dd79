#include "coordination/placement_round.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace pomelorouter::coordination
{

using protocol::order_step;
using state::attribute;

namespace
{

// A model gets another copy once its demand exceeds this share of the throughput of its
// engines: an engine also serves other models, and demand grows faster than a load ends.
constexpr double target_utilization = 0.5;
// Assumed if no engine has reported its throughput.
constexpr double default_tokens_per_s = 1000.0;
// A copy is kept for this long after demand last required it. Otherwise demand that
// fluctuates within an hour would load and unload the model repeatedly.
constexpr state::seconds copy_retention{300};
// Capacity of the token bucket for loads, in seconds of the store's load rate.
constexpr double burst_seconds = 1.0;

} // namespace

placement_round::placement_round(placement& owner, state::time_point present,
                                 const placement_input& input)
    : planner(owner),
      now(present),
      tree(*input.tree),
      demand(input.demand),
      engines(input.engines)
{
    for (const placement_engine& engine : this->engines)
    {
        for (const model_key& key : engine.loading)
            ++(key.adapter.empty() ? this->model_loads_open : this->adapter_loads_open);
    }
}

std::vector<placement_step> placement_round::run()
{
    this->collect_offers();
    this->set_desired();
    this->refill_store_budget();
    // First a copy of every offered model, then the minimum numbers, then the demand.
    for (const load_reason reason :
         {load_reason::reachability, load_reason::minimum, load_reason::demand})
        this->add_missing_copies(reason);
    this->unload_replaced_versions();
    this->unload_not_offered();
    return std::move(this->steps);
}

void placement_round::collect_offers()
{
    for (const auto& [service_name, service] : this->tree.services)
    {
        for (const auto& [model_name, model] : service.models)
        {
            this->add_offer({model_name, model.version, {}}, model.bytes,
                            model.attributes, model.places);
            for (const auto& [adapter_name, adapter] : model.adapters)
            {
                this->add_offer({model_name, adapter.version, adapter_name},
                                adapter.bytes, adapter.attributes, model.places);
            }
        }
    }
}

void placement_round::add_offer(const model_key& key, std::int64_t bytes,
                                const state::attribute_values& attributes,
                                const std::vector<std::string>& places)
{
    const auto [found, is_new] = this->offers.try_emplace(key);
    offer& item = found->second;
    // Two services may offer the same model; the larger values apply.
    item.key = key;
    item.bytes = std::max(item.bytes, bytes);
    item.min_copies = std::max(item.min_copies, attributes.get(attribute::min_copies));
    item.max_copies = std::max(item.max_copies, attributes.get(attribute::max_copies));
    if (is_new)
        item.places = places;
    else if (places.empty() || item.places.empty())
        item.places.clear();
    else
        item.places.insert(item.places.end(), places.begin(), places.end());
    const auto entry = this->demand.find({key.model, key.adapter});
    if (entry != this->demand.end())
        item.demand = entry->second;
}

void placement_round::set_desired()
{
    double speed = 0.0;
    std::int64_t known = 0;
    for (const placement_engine& engine : this->engines)
    {
        if (!engine.usable || engine.tokens_per_s <= 0.0)
            continue;
        speed += engine.tokens_per_s;
        ++known;
    }
    speed = known == 0 ? default_tokens_per_s : speed / static_cast<double>(known);
    std::erase_if(this->planner.copy_histories,
                  [&](const auto& entry) { return !this->offers.contains(entry.first); });
    for (auto& [key, item] : this->offers)
    {
        const auto needed = static_cast<std::int64_t>(
            std::ceil(item.demand.tokens_per_s / (speed * target_utilization)));
        auto& remembered = this->planner.copy_histories[key];
        if (needed >= remembered.copies || this->now >= remembered.needed_until)
        {
            remembered.copies = needed;
            remembered.needed_until = this->now + copy_retention;
        }
        item.desired = std::clamp(remembered.copies, item.min_copies, item.max_copies);
    }
}

void placement_round::refill_store_budget()
{
    const double rate = this->tree.store.loads_per_s;
    const double most = std::max(1.0, rate * burst_seconds);
    if (!this->planner.has_planned)
    {
        this->planner.load_bucket = most;
    }
    else
    {
        const std::chrono::duration<double> passed = this->now - this->planner.last_plan;
        this->planner.load_bucket =
            std::min(most, this->planner.load_bucket + rate * passed.count());
    }
    this->planner.last_plan = this->now;
    this->planner.has_planned = true;
}

bool placement_round::has_store_budget(const offer& item) const
{
    if (!item.key.adapter.empty())
        return this->adapter_loads_open < this->tree.store.adapters_at_once;
    return this->planner.load_bucket >= 1.0 &&
           this->model_loads_open < this->tree.store.loads_at_once;
}

bool placement_round::take_store_budget(const offer& item)
{
    if (!this->has_store_budget(item))
        return false;
    if (!item.key.adapter.empty())
    {
        ++this->adapter_loads_open;
        return true;
    }
    this->planner.load_bucket -= 1.0;
    ++this->model_loads_open;
    return true;
}

std::int64_t placement_round::target_copies(const offer& item, load_reason reason)
{
    switch (reason)
    {
    case load_reason::reachability:
        return 1;
    case load_reason::minimum:
        return item.min_copies;
    case load_reason::demand:
        break;
    }
    return item.desired;
}

void placement_round::add_missing_copies(load_reason reason)
{
    std::vector<const offer*> missing;
    for (const auto& [key, item] : this->offers)
    {
        if (this->expected_copies(key) < target_copies(item, reason))
            missing.push_back(&item);
    }
    const auto urgency = [](const offer* item)
    {
        // Models before adapters, which cannot be loaded without their model.
        return std::tuple(!item->key.adapter.empty(), -item->demand.waiting_callers,
                          -item->demand.tokens_per_s);
    };
    std::stable_sort(missing.begin(), missing.end(),
                     [&](const offer* a, const offer* b)
                     { return urgency(a) < urgency(b); });
    for (const offer* item : missing)
    {
        for (auto i = this->expected_copies(item->key); i < target_copies(*item, reason);
             ++i)
            this->add_copy(*item, reason);
    }
}

void placement_round::add_copy(const offer& item, load_reason reason)
{
    placement_engine* target = this->choose_target(item, item.bytes);
    if (target == nullptr)
    {
        this->make_room(item, reason);
        return;
    }
    if (this->take_store_budget(item))
        this->load(*target, item);
}

bool placement_round::is_allowed(const offer& item, const placement_engine& engine) const
{
    if (item.places.empty())
        return true;
    const auto zone = this->tree.zones.find(engine.zone);
    if (zone == this->tree.zones.end())
        return false;
    const std::string full = zone->second.region + "/" + engine.zone;
    return std::any_of(item.places.begin(), item.places.end(),
                       [&](const std::string& place)
                       { return place == zone->second.region || place == full; });
}

bool placement_round::can_host(const offer& item, const placement_engine& engine) const
{
    if (!engine.usable || engine.leaving || engine.awaiting_fence ||
        engine.reserved.contains(item.key) || engine.failed.contains(item.key) ||
        !this->is_allowed(item, engine))
        return false;
    return item.key.adapter.empty() || this->has_base(item.key, engine);
}

bool placement_round::has_base(const model_key& adapter,
                               const placement_engine& engine) const
{
    // While no copy of the offered version is ready, an adapter may use the old version.
    bool is_offered_ready = false;
    for (const auto& [key, item] : this->offers)
    {
        if (key.model != adapter.model || !key.adapter.empty())
            continue;
        if (engine.ready.contains(key))
            return true;
        is_offered_ready = is_offered_ready || this->ready_copies(key) > 0;
    }
    if (is_offered_ready)
        return false;
    return std::any_of(engine.ready.begin(), engine.ready.end(),
                       [&](const model_key& key)
                       { return key.model == adapter.model && key.adapter.empty(); });
}

bool placement_round::serves(const model_key& key, const placement_engine& engine) const
{
    return engine.usable && !engine.leaving && engine.ready.contains(key) &&
           (key.adapter.empty() || this->has_base(key, engine));
}

std::int64_t placement_round::free_bytes(const placement_engine& engine) const
{
    const auto found = this->reserved_for_loads.find(engine.id);
    const std::int64_t free = engine.limit_bytes - engine.reserved_total();
    if (found == this->reserved_for_loads.end())
        return free;
    return std::min(free, this->free_after_unloads(engine));
}

std::int64_t placement_round::free_after_unloads(const placement_engine& engine) const
{
    std::int64_t free = engine.limit_bytes - engine.reserved_total();
    for (const model_key& key : engine.unloading)
        free += engine.reserved.at(key);
    const auto found = this->reserved_for_loads.find(engine.id);
    return found == this->reserved_for_loads.end() ? free : free - found->second;
}

placement_engine* placement_round::choose_target(const offer& item,
                                                 std::int64_t free_at_least)
{
    placement_engine* best = nullptr;
    std::tuple<std::int64_t, std::int64_t> best_score{};
    for (placement_engine& engine : this->engines)
    {
        const std::int64_t free = this->free_bytes(engine);
        if (!this->can_host(item, engine) || free < free_at_least)
            continue;
        const std::tuple score(this->copies_in_zone(item.key, engine.zone), -free);
        if (best != nullptr && score >= best_score)
            continue;
        best = &engine;
        best_score = score;
    }
    return best;
}

void placement_round::make_room(const offer& item, load_reason reason)
{
    // If no load may follow, an unload would only remove a copy.
    if (!this->has_store_budget(item))
        return;
    // Open unload orders may already free enough memory.
    for (const placement_engine& engine : this->engines)
    {
        if (!this->can_host(item, engine) || engine.unloading.empty() ||
            this->free_after_unloads(engine) < item.bytes)
            continue;
        this->reserve_for_load(engine, item);
        return;
    }
    placement_engine* best = nullptr;
    std::vector<model_key> best_candidates;
    std::tuple<std::size_t, std::int64_t> best_score{};
    for (placement_engine& engine : this->engines)
    {
        if (!this->can_host(item, engine) || !engine.unloading.empty())
            continue;
        std::vector<model_key> chosen = this->eviction_candidates(item, engine, reason);
        if (chosen.empty())
            continue;
        const std::tuple score(chosen.size(),
                               this->copies_in_zone(item.key, engine.zone));
        if (best != nullptr && score >= best_score)
            continue;
        best = &engine;
        best_candidates = std::move(chosen);
        best_score = score;
    }
    if (best == nullptr)
        return;
    for (const model_key& key : best_candidates)
        this->unload(*best, key);
    this->reserve_for_load(*best, item);
}

std::vector<model_key>
placement_round::eviction_candidates(const offer& item, const placement_engine& engine,
                                     load_reason reason) const
{
    std::vector<model_key> candidates;
    for (const model_key& key : engine.ready)
    {
        if (key.adapter.empty() && this->may_unload(key, engine, reason))
            candidates.push_back(key);
    }
    const auto demand_of = [&](const model_key& key)
    {
        const auto found = this->offers.find(key);
        return found == this->offers.end() ? -1.0 : found->second.demand.tokens_per_s;
    };
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&](const model_key& a, const model_key& b)
                     { return demand_of(a) < demand_of(b); });
    std::int64_t free = engine.limit_bytes - engine.reserved_total();
    std::vector<model_key> chosen;
    for (const model_key& key : candidates)
    {
        if (free >= item.bytes)
            break;
        free += engine.reserved.at(key);
        chosen.push_back(key);
    }
    return free >= item.bytes ? chosen : std::vector<model_key>{};
}

bool placement_round::is_replaced(const model_key& key) const
{
    return std::any_of(this->offers.begin(), this->offers.end(),
                       [&](const auto& entry)
                       {
                           return entry.first.model == key.model &&
                                  entry.first.adapter == key.adapter &&
                                  entry.first.version != key.version;
                       });
}

bool placement_round::has_needed_adapter(const model_key& key,
                                         const placement_engine& engine) const
{
    if (!key.adapter.empty())
        return false;
    return std::any_of(engine.ready.begin(), engine.ready.end(),
                       [&](const model_key& adapter)
                       {
                           return adapter.model == key.model &&
                                  !adapter.adapter.empty() &&
                                  this->offers.contains(adapter) &&
                                  this->serves(adapter, engine) &&
                                  this->ready_copies(adapter) < 2;
                       });
}

bool placement_round::may_unload(const model_key& key, const placement_engine& engine,
                                 load_reason reason) const
{
    if (engine.unloading.contains(key) || engine.loading.contains(key) ||
        this->has_needed_adapter(key, engine))
        return false;
    const auto found = this->offers.find(key);
    const std::int64_t copies = this->ready_copies(key);
    if (found == this->offers.end())
    {
        if (!this->is_replaced(key))
            return true;
        // The old version remains until a copy of the new one is ready.
        if (copies > 1)
            return true;
        for (const auto& [other, item] : this->offers)
        {
            if (other.model == key.model && other.adapter == key.adapter &&
                this->ready_copies(other) > 0)
                return true;
        }
        return false;
    }
    return copies > target_copies(found->second, reason);
}

void placement_round::unload_replaced_versions()
{
    for (const auto& [key, item] : this->offers)
    {
        const std::int64_t copies = this->ready_copies(key);
        if (copies == 0 || this->planned_copies(key) > copies)
            continue;
        // All copies of the new version are loaded first if they fit beside the old one.
        if (copies < item.desired && this->choose_target(item, item.bytes) != nullptr)
            continue;
        for (placement_engine& engine : this->engines)
        {
            const std::set<model_key> present = engine.ready;
            for (const model_key& old : present)
            {
                if (old.model == key.model && old.adapter == key.adapter &&
                    !this->offers.contains(old) &&
                    this->may_unload(old, engine, load_reason::demand))
                    this->unload(engine, old);
            }
        }
    }
}

void placement_round::unload_not_offered()
{
    for (placement_engine& engine : this->engines)
    {
        if (!engine.usable)
            continue;
        const std::set<model_key> present = engine.ready;
        for (const model_key& key : present)
        {
            const bool is_orphan = !key.adapter.empty() && engine.loading.empty() &&
                                   !this->has_base(key, engine) &&
                                   this->ready_copies(key) > 0;
            const bool is_dropped =
                !this->offers.contains(key) && !this->is_replaced(key);
            if (is_orphan ||
                (is_dropped && this->may_unload(key, engine, load_reason::demand)))
                this->unload(engine, key);
        }
    }
}

std::int64_t placement_round::ready_copies(const model_key& key) const
{
    return std::count_if(this->engines.begin(), this->engines.end(),
                         [&](const placement_engine& engine)
                         { return this->serves(key, engine); });
}

std::int64_t placement_round::planned_copies(const model_key& key) const
{
    return std::count_if(this->engines.begin(), this->engines.end(),
                         [&](const placement_engine& engine)
                         {
                             return this->serves(key, engine) ||
                                    (engine.usable && !engine.leaving &&
                                     engine.loading.contains(key));
                         });
}

std::int64_t placement_round::expected_copies(const model_key& key) const
{
    const auto found = this->waiting_copies.find(key);
    return this->planned_copies(key) +
           (found == this->waiting_copies.end() ? 0 : found->second);
}

void placement_round::reserve_for_load(const placement_engine& engine, const offer& item)
{
    this->reserved_for_loads[engine.id] += item.bytes;
    ++this->waiting_copies[item.key];
}

std::int64_t placement_round::copies_in_zone(const model_key& key,
                                             const std::string& zone) const
{
    return std::count_if(this->engines.begin(), this->engines.end(),
                         [&](const placement_engine& engine)
                         {
                             return engine.zone == zone && engine.usable &&
                                    !engine.leaving && engine.reserved.contains(key) &&
                                    !engine.unloading.contains(key);
                         });
}

void placement_round::load(placement_engine& engine, const offer& item)
{
    engine.reserved[item.key] = item.bytes;
    engine.loading.insert(item.key);
    this->steps.push_back({engine.id, order_step::load, item.key, item.bytes});
}

void placement_round::unload(placement_engine& engine, const model_key& key)
{
    // The memory remains reserved until the order has ended.
    engine.ready.erase(key);
    engine.unloading.insert(key);
    this->steps.push_back({engine.id, order_step::unload, key, engine.reserved[key]});
}

} // namespace pomelorouter::coordination
