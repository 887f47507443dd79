#include "coordination/engine_watch.hpp"

#include <algorithm>
#include <set>

namespace pomelorouter::coordination
{

using protocol::engine_entry;
using protocol::order_intent;
using protocol::order_step;

namespace
{

std::set<model_key> keys_of(const std::vector<state::resident_model>& items)
{
    std::set<model_key> result;
    for (const state::resident_model& item : items)
        result.insert(key_of(item));
    return result;
}

} // namespace

void engine_watch::on_engines(const std::vector<listed_engine>& listed,
                              const order_ledger& ledger, state::time_point now)
{
    std::set<std::string> present;
    for (const listed_engine& item : listed)
    {
        watched_engine& engine = this->entries[item.id];
        engine.zone = item.zone;
        engine.listed = true;
        engine.leaving = item.leaving;
        present.insert(item.id);
    }
    for (auto& [id, engine] : this->entries)
    {
        if (!engine.listed || present.contains(id))
            continue;
        engine.listed = false;
        engine.reachable = false;
        engine.unlisted_since = now;
    }
    std::erase_if(
        this->entries, [&](const auto& item)
        { return !item.second.listed && ledger.find_engine(item.first) == nullptr; });
    // Adds engines that only the ledger contains, for example after a restart of this
    // process.
    for (const auto& [id, entry] : ledger.engines())
    {
        const auto [found, is_new] = this->entries.try_emplace(id);
        if (is_new)
            found->second.unlisted_since = now;
    }
}

bool engine_watch::on_inventory(const state::engine_inventory& inventory,
                                double tokens_per_s, state::time_point requested)
{
    const auto found = this->entries.find(inventory.engine);
    if (found == this->entries.end() || !found->second.listed)
        return false;
    watched_engine& engine = found->second;
    engine.reachable = true;
    engine.inventory = inventory;
    engine.requested = requested;
    engine.tokens_per_s = tokens_per_s;
    return true;
}

void engine_watch::on_unreachable(const std::string& engine)
{
    const auto found = this->entries.find(engine);
    if (found != this->entries.end())
        found->second.reachable = false;
}

void engine_watch::on_ledger_updated(const order_ledger& ledger, state::time_point now)
{
    for (auto& [id, engine] : this->entries)
    {
        const engine_entry* entry = ledger.find_engine(id);
        const std::uint64_t changed = entry == nullptr ? 0 : entry->changed;
        if (engine.changed == changed)
            continue;
        engine.changed = changed;
        engine.changed_at = now;
    }
}

const watched_engine* engine_watch::find(const std::string& engine) const
{
    const auto found = this->entries.find(engine);
    return found == this->entries.end() ? nullptr : &found->second;
}

bool engine_watch::is_newer(const watched_engine& engine, const engine_entry* entry)
{
    // An inventory requested before the last change was applied may be older than it.
    const std::uint64_t changed = entry == nullptr ? 0 : entry->changed;
    return engine.listed && engine.reachable && engine.changed == changed &&
           engine.requested > engine.changed_at;
}

bool engine_watch::must_report(const watched_engine& engine, const engine_entry* entry,
                               std::int64_t limit_bytes, std::uint64_t epoch)
{
    if (entry == nullptr || entry->incarnation != engine.inventory.incarnation ||
        entry->limit_bytes != limit_bytes)
        return true;
    if (entry->awaiting_fence && engine.inventory.fence >= epoch)
        return true;
    // While orders are open, the set of resident models changes before the ledger does.
    return entry->open_orders.empty() &&
           keys_of(entry->resident) != keys_of(engine.inventory.resident);
}

placement_engine engine_watch::make_engine(const std::string& id,
                                           const watched_engine& engine,
                                           const engine_entry* entry,
                                           const std::string& scope)
{
    placement_engine result;
    result.id = id;
    result.zone = engine.zone;
    result.leaving = engine.leaving;
    result.tokens_per_s = engine.tokens_per_s;
    result.usable = entry != nullptr && engine.listed && engine.reachable &&
                    entry->scope == scope &&
                    entry->incarnation == engine.inventory.incarnation;
    if (!result.usable)
        return result;
    result.awaiting_fence = entry->awaiting_fence;
    result.limit_bytes = entry->limit_bytes;
    const auto reserve = [&](const model_key& key, std::int64_t bytes)
    {
        std::int64_t& size = result.reserved[key];
        size = std::max(size, bytes);
    };
    for (const state::resident_model& item : entry->resident)
        reserve(key_of(item), item.bytes);
    // The inventory may be older than an unload that the ledger shows as done, for
    // example after a pause of this process, so a copy is ready only if both contain it.
    const std::set<model_key> recorded = keys_of(entry->resident);
    for (const state::resident_model& item : engine.inventory.resident)
    {
        reserve(key_of(item), item.bytes);
        if (item.ready && recorded.contains(key_of(item)))
            result.ready.insert(key_of(item));
    }
    for (const order_intent& order : entry->open_orders)
    {
        if (order.step == order_step::set_role)
            continue;
        reserve(key_of(order), order.bytes);
        if (order.step == order_step::load)
        {
            result.loading.insert(key_of(order));
            continue;
        }
        // The engine may execute the unload at any time.
        result.unloading.insert(key_of(order));
        result.ready.erase(key_of(order));
    }
    return result;
}

} // namespace pomelorouter::coordination
