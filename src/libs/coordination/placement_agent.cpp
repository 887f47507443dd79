#include "coordination/placement_agent.hpp"

#include <algorithm>
#include <utility>

namespace pomelorouter::coordination
{

using protocol::engine_entry;
using protocol::order_intent;
using protocol::order_result;
using protocol::order_step;
using protocol::outcome_basis;

namespace
{

// Scope of nodes and engines whose availability zone is not in the settings.
constexpr const char* default_scope = "default";
// An order is sent again at this interval until the inventory of the engine lists it.
constexpr state::milliseconds order_resend_delay{1000};
// Limits the records of one plan that are queued ahead of the next lease renewal.
constexpr std::size_t max_orders_per_plan = 32;
// Delay before an engine that failed to load a model is ordered to load it again.
constexpr state::seconds failed_load_delay{10};

} // namespace

placement_agent::placement_agent(std::string node_id, std::uint64_t node_incarnation,
                                 std::string node_zone, const peer_status& other_nodes,
                                 placement_port& requests)
    : node(std::move(node_id)),
      incarnation(node_incarnation),
      zone(std::move(node_zone)),
      peers(other_nodes),
      port(requests),
      own_lease(node, incarnation),
      outbox(node, incarnation)
{
}

placement_agent::~placement_agent() = default;

void placement_agent::on_settings(std::shared_ptr<const state::settings> settings)
{
    this->tree = std::move(settings);
    this->own_lease.set_timing(
        {state::milliseconds(this->attribute(state::attribute::lease_renew_ms)),
         state::milliseconds(this->attribute(state::attribute::lease_duration_ms))});
}

void placement_agent::begin_at(std::uint64_t first)
{
    this->current_ledger.begin_at(first);
}

void placement_agent::on_record(state::time_point now, std::uint64_t offset,
                                std::string_view data)
{
    ++this->records_since_snapshot;
    const auto event = this->current_ledger.apply(offset, data);
    if (!event)
        return;
    const protocol::record_header& header = protocol::header_of(event->record);
    if (this->is_own(header))
        this->outbox.on_read_back(header.sequence);
    const bool applied = event->verdict == fleet_verdict::applied;
    if (const auto* outcome = std::get_if<protocol::order_outcome>(&event->record))
    {
        if (this->is_own(header))
            this->closing.erase(outcome->order_id);
    }
    else if (const auto* intent = std::get_if<order_intent>(&event->record))
    {
        if (!applied && this->is_own(header))
        {
            this->port.record_event("order_not_valid",
                                    {{"order", intent->order_id},
                                     {"reason", std::string(to_string(event->verdict))}});
        }
    }
    else if (std::holds_alternative<protocol::fleet_snapshot>(event->record))
    {
        this->records_since_snapshot = 0;
    }
    else if (applied)
    {
        const bool is_lease_record =
            std::holds_alternative<protocol::lease_claim>(event->record) ||
            std::holds_alternative<protocol::lease_renew>(event->record) ||
            std::holds_alternative<protocol::lease_release>(event->record);
        this->has_lease_record = this->has_lease_record || is_lease_record;
    }
    static_cast<void>(now);
}

void placement_agent::on_page_end(state::time_point now)
{
    if (!this->current_ledger.is_known() || !this->tree)
        return;
    const lease_position before = this->own_lease.position();
    this->own_lease.on_page_applied(
        now, this->current_ledger.lease(this->scope_of_zone(this->zone)),
        std::exchange(this->has_lease_record, false));
    if (this->own_lease.position() != before)
    {
        this->port.record_event(
            "placement_lease",
            {{"position", std::string(to_string(this->own_lease.position()))},
             {"epoch", std::to_string(this->own_lease.epoch())}});
    }
    this->watch.on_ledger_updated(this->current_ledger, now);
    const std::uint64_t applied =
        this->current_ledger.applied_sequence(this->node, this->incarnation);
    for (auto& [id, order] : this->orders)
    {
        // The verdict of the record is not sufficient: the intent may be part of a
        // snapshot, and a valid order may have been closed since.
        const order_intent& intent = order.intent();
        if (order.stage() == order_stage::intended && intent.header.sequence <= applied)
            order.on_intent_applied(this->current_ledger.find_open(intent.engine, id) !=
                                    nullptr);
    }
    this->advance_orders(now);
    this->append_next(now);
}

void placement_agent::on_append_outcome(append_outcome end, state::time_point now)
{
    this->outbox.on_append_outcome(end, now);
    this->append_next(now);
}

void placement_agent::on_send_outcome(const std::string& order_id, send_outcome end,
                                      state::time_point now)
{
    const auto found = this->orders.find(order_id);
    if (found == this->orders.end())
        return;
    if (end == send_outcome::stale_fence)
        found->second.on_stale_fence();
    found->second.on_attempt_ended(now, order_resend_delay);
}

void placement_agent::on_engines(const std::vector<listed_engine>& listed,
                                 state::time_point now)
{
    this->watch.on_engines(listed, this->current_ledger, now);
}

void placement_agent::on_inventory(const state::engine_inventory& inventory,
                                   double tokens_per_s, state::time_point requested,
                                   state::time_point now)
{
    if (!this->watch.on_inventory(inventory, tokens_per_s, requested) || !this->tree)
        return;
    for (auto& [id, order] : this->orders)
    {
        if (order.intent().engine != inventory.engine)
            continue;
        // A new process of the engine must not receive orders for the earlier process.
        const bool same_process =
            order.intent().engine_incarnation == inventory.incarnation;
        order.on_inventory(inventory, requested, same_process ? this->held_epoch() : 0,
                           this->margin());
    }
    this->advance_orders(now);
    this->append_next(now);
}

void placement_agent::on_engine_unreachable(const std::string& engine)
{
    this->watch.on_unreachable(engine);
}

void placement_agent::on_tick(state::time_point now, const demand_map& demand)
{
    if (this->tree && this->current_ledger.is_known())
    {
        this->act_on_lease(now);
        this->advance_orders(now);
        if (this->own_lease.is_holder())
        {
            this->close_foreign_orders(now);
            this->report_changed_engines();
            this->report_removed_engines(now);
            this->issue_fence_orders();
            this->plan(now, demand);
        }
        this->write_snapshot();
    }
    this->append_next(now);
}

std::int64_t placement_agent::attribute(state::attribute id) const
{
    return this->tree->attributes.get(id);
}

state::milliseconds placement_agent::margin() const
{
    return state::milliseconds(this->attribute(state::attribute::late_order_margin_ms));
}

std::string placement_agent::scope_of_zone(const std::string& name) const
{
    const auto found = this->tree->zones.find(name);
    return found == this->tree->zones.end() ? default_scope : found->second.region;
}

std::uint64_t placement_agent::held_epoch() const
{
    return this->own_lease.is_holder() ? this->own_lease.epoch() : 0;
}

bool placement_agent::is_own(const protocol::record_header& header) const
{
    return header.writer == this->node && header.incarnation == this->incarnation;
}

std::int64_t placement_agent::limit_of(const watched_engine& engine) const
{
    constexpr std::int64_t percent_base = 100;
    const auto zone_entry = this->tree->zones.find(engine.zone);
    const state::attribute_values& attributes = zone_entry == this->tree->zones.end()
                                                    ? this->tree->attributes
                                                    : zone_entry->second.attributes;
    const std::int64_t reserve = attributes.get(state::attribute::kv_reserve_percent);
    return engine.inventory.capacity_bytes / percent_base * (percent_base - reserve);
}

void placement_agent::act_on_lease(state::time_point now)
{
    const std::string scope = this->scope_of_zone(this->zone);
    // Queued records mean that the log is slow or unavailable. A claim or renewal behind
    // them would arrive too late to be useful.
    const bool may_hold = this->peers.may_hold_lease() && this->outbox.empty();
    switch (this->own_lease.on_tick(now, this->peers.lease_rank(scope), may_hold))
    {
    case lease_action::claim:
    {
        protocol::lease_claim claim;
        claim.scope = scope;
        claim.previous_epoch = this->own_lease.epoch();
        this->outbox.push(std::move(claim));
        break;
    }
    case lease_action::renew:
    {
        protocol::lease_renew renew;
        renew.scope = scope;
        renew.epoch = this->own_lease.epoch();
        this->outbox.push(std::move(renew));
        break;
    }
    case lease_action::none:
        break;
    }
}

void placement_agent::advance_orders(state::time_point now)
{
    for (auto order = this->orders.begin(); order != this->orders.end();)
    {
        this->advance_order(order->second, now);
        const order_intent& intent = order->second.intent();
        const bool is_closed =
            this->current_ledger.is_known() && order->second.is_ended() &&
            !order->second.is_attempt_running() &&
            this->current_ledger.find_open(intent.engine, intent.order_id) == nullptr;
        if (is_closed)
            order = this->orders.erase(order);
        else
            ++order;
    }
    if (this->orders.empty() && this->own_lease.position() == lease_position::lost)
        this->own_lease.on_orders_closed();
}

void placement_agent::advance_order(engine_order& order, state::time_point now)
{
    const order_intent& intent = order.intent();
    const std::uint64_t epoch = this->held_epoch();
    const watched_engine* engine = this->watch.find(intent.engine);
    const bool is_listed = engine != nullptr && engine->listed;
    // An order for one process of the engine must not be sent to its successor.
    const bool is_same_process =
        is_listed && engine->inventory.incarnation == intent.engine_incarnation;
    if (order.stage() == order_stage::confirmed &&
        (epoch != intent.epoch || !is_same_process || !this->is_still_safe(intent)))
        order.withdraw();
    if (!is_listed && this->tree)
        order.on_engine_gone(now, this->margin());
    const bool is_open =
        this->current_ledger.is_known() &&
        this->current_ledger.find_open(intent.engine, intent.order_id) != nullptr;
    if (is_same_process && is_open && order.may_send(epoch, now))
        this->send(order);
    const auto result = order.result();
    if (!result || !is_open || !this->closing.insert(intent.order_id).second)
        return;
    protocol::order_outcome outcome;
    outcome.order_id = intent.order_id;
    outcome.result = *result;
    outcome.basis = outcome_basis::author;
    outcome.epoch = intent.epoch;
    if (*result == order_result::failed)
        this->failed_loads[{intent.engine, key_of(intent)}] = now + failed_load_delay;
    this->outbox.push(std::move(outcome));
}

bool placement_agent::is_still_safe(const order_intent& order) const
{
    if (order.step != order_step::unload)
        return true;
    // The copy that made the unload safe may have been removed since the decision.
    std::int64_t same_version = 0;
    std::int64_t other_version = 0;
    const std::string scope = this->scope_of_zone(this->zone);
    for (const auto& [id, engine] : this->watch.engines())
    {
        for (const model_key& key :
             engine_watch::make_engine(id, engine, this->current_ledger.find_engine(id),
                                       scope)
                 .ready)
        {
            if (key.model != order.model || key.adapter != order.adapter)
                continue;
            if (key.version != order.version)
                ++other_version;
            else if (id != order.engine)
                ++same_version;
        }
    }
    bool is_current_version = false;
    bool is_old_version = false;
    for (const auto& [name, service] : this->tree->services)
    {
        const auto model = service.models.find(order.model);
        if (model == service.models.end())
            continue;
        std::string version = model->second.version;
        if (!order.adapter.empty())
        {
            const auto adapter = model->second.adapters.find(order.adapter);
            if (adapter == model->second.adapters.end())
                continue;
            version = adapter->second.version;
        }
        (version == order.version ? is_current_version : is_old_version) = true;
    }
    if (is_current_version)
        return same_version > 0;
    return !is_old_version || same_version + other_version > 0;
}

void placement_agent::send(engine_order& order)
{
    const order_intent& intent = order.intent();
    protocol::engine_order message;
    message.order_id = intent.order_id;
    message.fence = intent.epoch;
    message.step = intent.step;
    message.model = intent.model;
    message.version = intent.version;
    message.adapter = intent.adapter;
    message.bytes = intent.bytes;
    message.role = intent.role;
    order.on_sending();
    this->port.send(intent.engine, message);
}

void placement_agent::issue_order(order_intent intent)
{
    intent.order_id = this->node + "." + std::to_string(this->incarnation) + "." +
                      std::to_string(++this->next_order);
    intent.epoch = this->own_lease.epoch();
    intent.header.sequence = this->outbox.push(intent);
    const std::string id = intent.order_id;
    this->orders.emplace(id, engine_order(std::move(intent)));
}

void placement_agent::report_changed_engines()
{
    const std::string scope = this->scope_of_zone(this->zone);
    for (auto& [id, engine] : this->watch.engines())
    {
        const engine_entry* entry = this->current_ledger.find_engine(id);
        const std::uint64_t base = entry == nullptr ? 0 : entry->changed;
        const std::int64_t limit = this->limit_of(engine);
        if (this->scope_of_zone(engine.zone) != scope ||
            !engine_watch::is_newer(engine, entry) ||
            ((entry == nullptr || entry->scope == scope) &&
             !engine_watch::must_report(engine, entry, limit, this->own_lease.epoch())))
            continue;
        const std::pair mark(this->own_lease.epoch(), base);
        if (std::exchange(engine.reported, mark) == mark)
            continue;
        protocol::engine_seen seen;
        seen.epoch = this->own_lease.epoch();
        seen.engine = id;
        seen.engine_incarnation = engine.inventory.incarnation;
        seen.base = base;
        seen.checks_fence = engine.inventory.checks_fence;
        seen.fence = engine.inventory.fence;
        seen.limit_bytes = limit;
        seen.resident = engine.inventory.resident;
        this->outbox.push(std::move(seen));
    }
}

void placement_agent::report_removed_engines(state::time_point now)
{
    const std::string scope = this->scope_of_zone(this->zone);
    for (auto& [id, engine] : this->watch.engines())
    {
        const engine_entry* entry = this->current_ledger.find_engine(id);
        if (engine.listed || entry == nullptr || entry->scope != scope ||
            !entry->open_orders.empty() || now - engine.unlisted_since < this->margin())
            continue;
        const std::pair mark(this->own_lease.epoch(), entry->changed);
        if (std::exchange(engine.reported, mark) == mark)
            continue;
        protocol::engine_gone gone;
        gone.epoch = this->own_lease.epoch();
        gone.engine = id;
        this->outbox.push(std::move(gone));
    }
}

void placement_agent::close_foreign_orders(state::time_point now)
{
    const std::string scope = this->scope_of_zone(this->zone);
    for (const auto& [id, entry] : this->current_ledger.engines())
    {
        if (entry.scope != scope)
            continue;
        for (const order_intent& order : entry.open_orders)
        {
            if (!this->is_own(order.header) && order.epoch < this->own_lease.epoch() &&
                !this->closing.contains(order.order_id))
                this->close_foreign_order(entry, order, now);
        }
    }
}

void placement_agent::close_foreign_order(const engine_entry& entry,
                                          const order_intent& order,
                                          state::time_point now)
{
    const watched_engine* found = this->watch.find(entry.engine);
    if (found == nullptr)
        return;
    const watched_engine& engine = *found;
    const bool is_gone = !engine.listed && now - engine.unlisted_since > this->margin();
    const bool is_current = engine.listed && engine.reachable &&
                            engine.inventory.incarnation == entry.incarnation;
    if (!is_gone && !is_current)
        return;
    protocol::order_outcome outcome;
    // An inventory with the current token was taken after the engine began to reject the
    // order, so the status of the order in it is final.
    const bool is_fenced = is_current && entry.checks_fence && !entry.awaiting_fence &&
                           engine.inventory.fence >= this->own_lease.epoch();
    if (is_fenced)
        outcome.basis = outcome_basis::fence;
    else if (this->is_author_gone(order, is_gone ? now : engine.requested, now))
        outcome.basis = outcome_basis::author_dead;
    else
        return;
    outcome.order_id = order.order_id;
    outcome.epoch = this->own_lease.epoch();
    outcome.result = order_result::not_sent;
    for (const auto& status : engine.inventory.orders)
    {
        if (is_gone || status.order_id != order.order_id)
            continue;
        if (status.status != "done" && status.status != "failed")
            return;
        outcome.result =
            status.status == "done" ? order_result::done : order_result::failed;
    }
    this->closing.insert(order.order_id);
    this->port.record_event("order_closed_for_earlier_holder",
                            {{"order", order.order_id},
                             {"basis", std::string(to_string(outcome.basis))},
                             {"result", std::string(to_string(outcome.result))}});
    this->outbox.push(std::move(outcome));
}

bool placement_agent::is_author_gone(const order_intent& order,
                                     state::time_point requested, state::time_point now)
{
    const auto key = std::pair(order.header.writer, order.header.incarnation);
    if (!this->peers.has_ended(key.first, key.second))
    {
        this->dead_since.erase(key);
        return false;
    }
    const auto [found, is_new] = this->dead_since.try_emplace(key, now);
    return requested > found->second + this->margin();
}

void placement_agent::issue_fence_orders()
{
    const std::uint64_t epoch = this->own_lease.epoch();
    for (const auto& [id, entry] : this->current_ledger.engines())
    {
        const std::string& name = id;
        const watched_engine* engine = this->watch.find(id);
        if (engine == nullptr || !engine->reachable ||
            entry.scope != this->scope_of_zone(this->zone) || !entry.checks_fence ||
            engine->inventory.incarnation != entry.incarnation ||
            engine->inventory.fence >= epoch)
            continue;
        const bool has_foreign = std::any_of(
            entry.open_orders.begin(), entry.open_orders.end(),
            [&](const order_intent& order) { return !this->is_own(order.header); });
        const bool is_under_way =
            std::any_of(this->orders.begin(), this->orders.end(),
                        [&](const auto& item)
                        {
                            const order_intent& intent = item.second.intent();
                            return intent.engine == name && intent.epoch == epoch;
                        });
        if (is_under_way || !(has_foreign || entry.awaiting_fence))
            continue;
        // Setting the current role of the engine only updates its fencing token.
        order_intent intent;
        intent.engine = id;
        intent.engine_incarnation = entry.incarnation;
        intent.step = order_step::set_role;
        intent.role = engine->inventory.role;
        this->issue_order(std::move(intent));
    }
}

bool placement_agent::can_plan() const
{
    // The plan is based on the ledger, so the ledger must contain all earlier decisions.
    return this->outbox.empty() && !this->outbox.is_failing() &&
           std::none_of(this->orders.begin(), this->orders.end(),
                        [](const auto& item)
                        { return item.second.stage() == order_stage::intended; });
}

void placement_agent::plan(state::time_point now, const demand_map& demand)
{
    if (!this->can_plan())
        return;
    placement_input input;
    input.tree = this->tree.get();
    input.demand = demand;
    const std::string scope = this->scope_of_zone(this->zone);
    for (const auto& [id, engine] : this->watch.engines())
    {
        if (engine.listed)
            input.engines.push_back(engine_watch::make_engine(
                id, engine, this->current_ledger.find_engine(id), scope));
    }
    std::erase_if(this->failed_loads,
                  [&](const auto& item) { return now >= item.second; });
    for (placement_engine& engine : input.engines)
    {
        for (const auto& [load, until] : this->failed_loads)
        {
            if (load.first == engine.id)
                engine.failed.insert(load.second);
        }
    }
    std::size_t issued = 0;
    for (const placement_step& step : this->planner.plan(now, input))
    {
        if (issued++ == max_orders_per_plan)
            break;
        order_intent intent;
        intent.engine = step.engine;
        intent.engine_incarnation =
            this->current_ledger.find_engine(step.engine)->incarnation;
        intent.step = step.step;
        intent.model = step.key.model;
        intent.version = step.key.version;
        intent.adapter = step.key.adapter;
        intent.bytes = step.bytes;
        this->issue_order(std::move(intent));
    }
}

void placement_agent::write_snapshot()
{
    // Nodes without the lease wait for more records, so that normally the holder writes
    // the snapshot.
    const auto threshold_factor = static_cast<std::int64_t>(
        this->own_lease.is_holder()
            ? 1
            : 2 + this->peers.lease_rank(this->scope_of_zone(this->zone)));
    if (this->records_since_snapshot <
            this->attribute(state::attribute::snapshot_records) * threshold_factor ||
        !this->outbox.empty())
        return;
    this->records_since_snapshot = 0;
    this->outbox.push(this->current_ledger.snapshot());
}

void placement_agent::append_next(state::time_point now)
{
    if (auto data = this->outbox.next(now))
        this->port.append(std::move(*data));
}

} // namespace pomelorouter::coordination
