#include "coordination/order_ledger.hpp"

#include "state/enum_table.hpp"
#include "state/error.hpp"

#include <algorithm>

namespace pomelorouter::coordination
{

using protocol::engine_entry;
using protocol::lease_state;
using protocol::order_intent;
using protocol::order_step;
using protocol::outcome_basis;

namespace
{

// Covers every process that writes within the retention period of the log. All nodes
// remove the writer with the oldest last record first.
constexpr std::size_t max_writers = 1024;

constexpr std::array<state::enum_name<fleet_verdict>, 11> verdict_names{{
    {fleet_verdict::applied, "applied"},
    {fleet_verdict::duplicate, "duplicate"},
    {fleet_verdict::stale_epoch, "stale_epoch"},
    {fleet_verdict::unknown_engine, "unknown_engine"},
    {fleet_verdict::wrong_engine, "wrong_engine"},
    {fleet_verdict::order_conflict, "order_conflict"},
    {fleet_verdict::awaiting_fence, "awaiting_fence"},
    {fleet_verdict::no_memory, "no_memory"},
    {fleet_verdict::changed_meanwhile, "changed_meanwhile"},
    {fleet_verdict::unknown_order, "unknown_order"},
    {fleet_verdict::not_permitted, "not_permitted"},
}};

bool is_subject_of(const state::resident_model& item, const order_intent& order)
{
    return item.model == order.model && item.version == order.version &&
           item.adapter == order.adapter;
}

bool same_subject(const order_intent& left, const order_intent& right)
{
    return left.model == right.model && left.version == right.version &&
           left.adapter == right.adapter;
}

void apply_to_resident(const order_intent& order, engine_entry& entry)
{
    if (order.step == order_step::set_role)
        return;
    std::erase_if(entry.resident, [&](const state::resident_model& item)
                  { return is_subject_of(item, order); });
    if (order.step == order_step::load)
    {
        entry.resident.push_back(
            {order.model, order.version, order.adapter, order.bytes, true});
    }
}

} // namespace

std::string_view to_string(fleet_verdict verdict)
{
    return name_of(verdict_names, verdict);
}

model_key key_of(const state::resident_model& item)
{
    return {item.model, item.version, item.adapter};
}

model_key key_of(const order_intent& order)
{
    return {order.model, order.version, order.adapter};
}

std::optional<fleet_event> order_ledger::apply(std::uint64_t offset,
                                               std::string_view data)
{
    if (offset < this->position.next_offset())
        return std::nullopt;
    if (this->position.is_known())
        return this->apply_known(offset, data);
    this->look_for_snapshot(offset, data);
    return std::nullopt;
}

fleet_event order_ledger::apply_known(std::uint64_t offset, std::string_view data)
{
    // Advance before parsing: every node skips a malformed record.
    this->position.advance(offset);
    fleet_event event;
    event.offset = offset;
    event.record = protocol::parse_fleet_record(data);
    if (this->is_duplicate(protocol::header_of(event.record), offset))
    {
        event.verdict = fleet_verdict::duplicate;
        return event;
    }
    event.verdict =
        std::visit([&](const auto& record) { return this->apply_record(record, offset); },
                   event.record);
    return event;
}

void order_ledger::look_for_snapshot(std::uint64_t offset, std::string_view data)
{
    this->position.buffer_record(offset, data);
    const protocol::fleet_record record = protocol::parse_fleet_record(data);
    const auto* snapshot = std::get_if<protocol::fleet_snapshot>(&record);
    // A snapshot that ends before the oldest retained record lacks the orders between the
    // two.
    if (snapshot != nullptr && this->position.covers_missed_records(snapshot->upto))
        this->adopt(*snapshot);
}

void order_ledger::adopt(const protocol::fleet_snapshot& snapshot)
{
    const auto later = this->position.adopt(snapshot.upto);
    if (!later)
        return;
    this->leases.clear();
    for (const lease_state& lease : snapshot.leases)
        this->leases[lease.scope] = lease;
    this->engine_entries.clear();
    for (const engine_entry& entry : snapshot.engines)
        this->engine_entries[entry.engine] = entry;
    this->writers.clear();
    for (const protocol::writer_position& writer : snapshot.writers)
    {
        this->writers[{writer.writer, writer.incarnation}] = {writer.sequence,
                                                              writer.offset};
    }
    for (const replay_position::buffered_record& record : *later)
    {
        try
        {
            this->apply_known(record.offset, record.data);
        }
        catch (const state::error&)
        {
            // Already reported by `look_for_snapshot`.
        }
    }
}

protocol::fleet_snapshot order_ledger::snapshot() const
{
    protocol::fleet_snapshot result;
    result.upto = this->next_offset() == 0 ? 0 : this->next_offset() - 1;
    for (const auto& [scope, lease] : this->leases)
        result.leases.push_back(lease);
    for (const auto& [id, entry] : this->engine_entries)
        result.engines.push_back(entry);
    for (const auto& [key, writer] : this->writers)
    {
        result.writers.push_back({key.first, key.second, writer.sequence, writer.offset});
    }
    return result;
}

lease_state order_ledger::lease(std::string_view scope) const
{
    const auto found = this->leases.find(scope);
    if (found != this->leases.end())
        return found->second;
    lease_state none;
    none.scope = scope;
    return none;
}

const engine_entry* order_ledger::find_engine(std::string_view engine) const
{
    const auto found = this->engine_entries.find(engine);
    return found == this->engine_entries.end() ? nullptr : &found->second;
}

const order_intent* order_ledger::find_open(std::string_view engine,
                                            std::string_view order_id) const
{
    const engine_entry* entry = this->find_engine(engine);
    if (entry == nullptr)
        return nullptr;
    for (const order_intent& order : entry->open_orders)
    {
        if (order.order_id == order_id)
            return &order;
    }
    return nullptr;
}

std::uint64_t order_ledger::applied_sequence(const std::string& writer,
                                             std::uint64_t incarnation) const
{
    const auto found = this->writers.find({writer, incarnation});
    return found == this->writers.end() ? 0 : found->second.sequence;
}

std::int64_t order_ledger::reserved_bytes(const engine_entry& entry,
                                          const order_intent* extra)
{
    // Each model counts once, with the largest size that it may have while orders for it
    // are open: a load may have finished, and an unload may not have started.
    std::map<model_key, std::int64_t> sizes;
    const auto count = [&](const model_key& key, std::int64_t bytes)
    {
        std::int64_t& size = sizes[key];
        size = std::max(size, bytes);
    };
    for (const state::resident_model& item : entry.resident)
        count(key_of(item), item.bytes);
    for (const order_intent& order : entry.open_orders)
    {
        if (order.step != order_step::set_role)
            count(key_of(order), order.bytes);
    }
    if (extra != nullptr)
        count(key_of(*extra), extra->bytes);
    std::int64_t total = 0;
    for (const auto& [key, size] : sizes)
        total += size;
    return total;
}

bool order_ledger::is_duplicate(const protocol::record_header& header,
                                std::uint64_t offset)
{
    const auto [found, is_new] =
        this->writers.try_emplace({header.writer, header.incarnation});
    if (!is_new && header.sequence <= found->second.sequence)
        return true;
    found->second = {header.sequence, offset};
    this->forget_old_writers();
    return false;
}

void order_ledger::forget_old_writers()
{
    if (this->writers.size() <= max_writers)
        return;
    const auto oldest =
        std::min_element(this->writers.begin(), this->writers.end(),
                         [](const auto& left, const auto& right)
                         { return left.second.offset < right.second.offset; });
    this->writers.erase(oldest);
}

const lease_state* order_ledger::find_epoch(std::uint64_t epoch) const
{
    for (const auto& [scope, lease] : this->leases)
    {
        if (lease.held && lease.epoch == epoch)
            return &lease;
    }
    return nullptr;
}

fleet_verdict order_ledger::apply_record(const protocol::lease_claim& record,
                                         std::uint64_t offset)
{
    lease_state& lease = this->leases[record.scope];
    if (lease.epoch != record.previous_epoch)
        return fleet_verdict::stale_epoch;
    lease = {record.scope, record.header.writer, record.header.incarnation, offset + 1,
             true};
    return fleet_verdict::applied;
}

fleet_verdict order_ledger::apply_record(const protocol::lease_renew& record,
                                         std::uint64_t)
{
    const lease_state* lease = this->find_epoch(record.epoch);
    return lease != nullptr && lease->scope == record.scope ? fleet_verdict::applied
                                                            : fleet_verdict::stale_epoch;
}

fleet_verdict order_ledger::apply_record(const protocol::lease_release& record,
                                         std::uint64_t)
{
    const lease_state* lease = this->find_epoch(record.epoch);
    if (lease == nullptr || lease->scope != record.scope)
        return fleet_verdict::stale_epoch;
    this->leases[record.scope].held = false;
    return fleet_verdict::applied;
}

fleet_verdict order_ledger::apply_record(const order_intent& record, std::uint64_t offset)
{
    const lease_state* lease = this->find_epoch(record.epoch);
    if (lease == nullptr)
        return fleet_verdict::stale_epoch;
    const auto found = this->engine_entries.find(record.engine);
    if (found == this->engine_entries.end())
        return fleet_verdict::unknown_engine;
    engine_entry& entry = found->second;
    if (entry.scope != lease->scope || entry.incarnation != record.engine_incarnation)
        return fleet_verdict::wrong_engine;
    for (const order_intent& order : entry.open_orders)
    {
        const bool is_conflicting =
            record.step != order_step::set_role && same_subject(order, record);
        if (order.order_id == record.order_id || is_conflicting)
            return fleet_verdict::order_conflict;
    }
    if (record.step == order_step::load)
    {
        if (entry.awaiting_fence)
            return fleet_verdict::awaiting_fence;
        if (reserved_bytes(entry, &record) > entry.limit_bytes)
            return fleet_verdict::no_memory;
    }
    entry.open_orders.push_back(record);
    entry.changed = offset + 1;
    return fleet_verdict::applied;
}

bool order_ledger::may_close(const protocol::order_outcome& record,
                             const order_intent& order, const engine_entry& entry) const
{
    // The author knows which orders it has sent, even if it no longer holds the lease.
    if (record.header.writer == order.header.writer &&
        record.header.incarnation == order.header.incarnation)
        return record.basis == outcome_basis::author;
    const lease_state* lease = this->find_epoch(record.epoch);
    if (lease == nullptr || lease->scope != entry.scope || record.epoch <= order.epoch)
        return false;
    switch (record.basis)
    {
    case outcome_basis::fence:
        // An engine that does not check tokens may still execute the order.
        return entry.checks_fence && !entry.awaiting_fence;
    case outcome_basis::author_dead:
        return true;
    case outcome_basis::author:
        break;
    }
    return false;
}

fleet_verdict order_ledger::apply_record(const protocol::order_outcome& record,
                                         std::uint64_t offset)
{
    for (auto& [id, entry] : this->engine_entries)
    {
        const auto order =
            std::find_if(entry.open_orders.begin(), entry.open_orders.end(),
                         [&](const order_intent& candidate)
                         { return candidate.order_id == record.order_id; });
        if (order == entry.open_orders.end())
            continue;
        if (!this->may_close(record, *order, entry))
            return fleet_verdict::not_permitted;
        if (record.result == protocol::order_result::done)
            apply_to_resident(*order, entry);
        entry.open_orders.erase(order);
        entry.changed = offset + 1;
        return fleet_verdict::applied;
    }
    return fleet_verdict::unknown_order;
}

fleet_verdict order_ledger::apply_record(const protocol::engine_seen& record,
                                         std::uint64_t offset)
{
    const lease_state* lease = this->find_epoch(record.epoch);
    if (lease == nullptr)
        return fleet_verdict::stale_epoch;
    const auto found = this->engine_entries.find(record.engine);
    const std::uint64_t changed =
        found == this->engine_entries.end() ? 0 : found->second.changed;
    if (record.base != changed)
        return fleet_verdict::changed_meanwhile;
    // An engine changes its scope when the settings move its availability zone to another
    // region. Its open orders remain counted, and epochs increase across all scopes.
    engine_entry& entry = this->engine_entries[record.engine];
    const bool is_new_process =
        changed == 0 || entry.incarnation != record.engine_incarnation;
    // A process that has acknowledged no token accepts any. An order of a paused holder
    // may still reach it, although the order was closed because an earlier process of the
    // engine would reject it.
    if (is_new_process)
        entry.awaiting_fence = record.checks_fence;
    if (record.fence >= record.epoch)
        entry.awaiting_fence = false;
    entry.engine = record.engine;
    entry.incarnation = record.engine_incarnation;
    entry.scope = lease->scope;
    entry.checks_fence = record.checks_fence;
    entry.limit_bytes = record.limit_bytes;
    entry.resident = record.resident;
    entry.changed = offset + 1;
    return fleet_verdict::applied;
}

fleet_verdict order_ledger::apply_record(const protocol::engine_gone& record,
                                         std::uint64_t)
{
    const lease_state* lease = this->find_epoch(record.epoch);
    if (lease == nullptr)
        return fleet_verdict::stale_epoch;
    const auto found = this->engine_entries.find(record.engine);
    if (found == this->engine_entries.end())
        return fleet_verdict::unknown_engine;
    if (found->second.scope != lease->scope)
        return fleet_verdict::wrong_engine;
    // If the engine returns, an order that is still in transit needs its reserved memory.
    if (!found->second.open_orders.empty())
        return fleet_verdict::order_conflict;
    this->engine_entries.erase(found);
    return fleet_verdict::applied;
}

fleet_verdict order_ledger::apply_record(const protocol::fleet_snapshot&, std::uint64_t)
{
    return fleet_verdict::applied;
}

} // namespace pomelorouter::coordination
