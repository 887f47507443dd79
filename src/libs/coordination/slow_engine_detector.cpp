#include "coordination/slow_engine_detector.hpp"

#include <algorithm>
#include <chrono>

namespace pomelorouter::coordination
{

namespace
{

// Enough doublings to get from the shortest to the longest probe interval.
constexpr std::uint32_t max_repeats = 16;

double as_us(state::time_point::duration time)
{
    return std::chrono::duration<double, std::micro>(time).count();
}

bool is_excluded(health value)
{
    return value == health::ejected || value == health::probing;
}

} // namespace

slow_engine_detector::slow_engine_detector(local_load& load_source,
                                           const slow_engine_limits& detector_limits)
    : load(load_source), limits(detector_limits)
{
}

std::size_t slow_engine_detector::allowed() const
{
    const std::size_t share = this->serving / this->limits.ejected_divisor;
    return this->serving >= 2 ? std::max<std::size_t>(share, 1) : 0;
}

health slow_engine_detector::state_of(engine_slot slot) const
{
    if (slot >= this->records.size() ||
        this->records[slot].generation != this->load.at(slot).generation)
        return health::healthy;
    return this->records[slot].machine.state();
}

slow_engine_detector::record& slow_engine_detector::record_of(engine_slot slot)
{
    if (slot >= this->records.size())
        this->records.resize(this->load.slot_count());
    record& item = this->records[slot];
    if (item.generation != this->load.at(slot).generation)
    {
        item = record{};
        item.generation = this->load.at(slot).generation;
    }
    return item;
}

void slow_engine_detector::count_ejected()
{
    this->ejected_count = 0;
    this->serving = 0;
    for (engine_slot slot = 0; slot < this->load.slot_count(); ++slot)
    {
        if (this->load.at(slot).view_index == no_index)
            continue;
        ++this->serving;
        this->ejected_count += is_excluded(this->state_of(slot)) ? 1 : 0;
    }
}

bool slow_engine_detector::is_stalled(const call_load& call, state::time_point now) const
{
    if (!call.active || !call.waiting ||
        this->load.measured() < this->limits.min_measured)
        return false;
    const double usual =
        call.has_first_token
            ? this->limits.gap_factor * this->load.median_token_gap_us()
            : this->limits.first_token_factor * this->load.median_first_token_us();
    const double floor =
        as_us(call.has_first_token ? this->limits.stalled_gap_floor
                                   : this->limits.stalled_first_token_floor);
    return usual > 0.0 && as_us(now - call.waiting_since) > std::max(usual, floor);
}

bool slow_engine_detector::is_slow(const engine_load& engine) const
{
    if (this->load.measured() < this->limits.min_measured)
        return false;
    const double gap =
        std::max(this->limits.gap_factor * this->load.median_token_gap_us(),
                 as_us(this->limits.gap_floor));
    const double first =
        std::max(this->limits.first_token_factor * this->load.median_first_token_us(),
                 as_us(this->limits.first_token_floor));
    return engine.token_gap_us > gap || engine.first_token_us > first;
}

void slow_engine_detector::tick(state::time_point now)
{
    this->load.update_medians();
    this->count_ejected();
    for (record& item : this->records)
        item.stalled = false;
    for (const call_load& call : this->load.calls())
    {
        if (this->is_stalled(call, now))
            this->record_of(call.slot).stalled = true;
    }
    for (engine_slot slot = 0; slot < this->load.slot_count(); ++slot)
    {
        if (this->load.at(slot).view_index != no_index)
            this->evaluate(slot, now);
    }
    this->reinstate_excess(now);
}

void slow_engine_detector::evaluate(engine_slot slot, state::time_point now)
{
    record& item = this->record_of(slot);
    const engine_load& engine = this->load.at(slot);
    const health before = item.machine.state();
    const bool is_measured = item.samples_seen != engine.samples;
    item.samples_seen = engine.samples;
    if (before == health::probing)
    {
        this->evaluate_probe(slot, item, now);
        return;
    }
    if (item.stalled || (is_measured && this->is_slow(engine)))
    {
        const bool would_eject = before == health::suspect;
        if (!would_eject || this->ejected_count < this->allowed())
            item.machine.on_slow();
    }
    else if (is_measured &&
             (before != health::ejected ||
              engine.samples - item.samples_at_change >= this->limits.recovery_samples))
        item.machine.on_normal();
    this->apply(slot, item, before, now);
}

void slow_engine_detector::evaluate_probe(engine_slot slot, record& item,
                                          state::time_point now)
{
    const engine_load& engine = this->load.at(slot);
    const std::uint32_t samples = engine.samples - item.samples_at_change;
    const bool has_ended = engine.requests == 0;
    if (item.stalled || this->is_slow(engine) || (has_ended && samples == 0))
        item.machine.on_slow();
    else if (samples >= this->limits.recovery_samples || has_ended)
        item.machine.on_normal();
    this->apply(slot, item, health::probing, now);
}

void slow_engine_detector::apply(engine_slot slot, record& item, health before,
                                 state::time_point now)
{
    const health after = item.machine.state();
    this->load.at(slot).ejected = is_excluded(after);
    if (before == after)
        return;
    if (after == health::ejected)
    {
        const bool is_first_ejection =
            !is_excluded(before) && now - item.recovered > this->limits.repeat_window;
        item.repeats = is_first_ejection ? 0 : std::min(item.repeats + 1, max_repeats);
    }
    if (is_excluded(before) && !is_excluded(after))
        item.recovered = now;
    item.changed = now;
    item.samples_at_change = this->load.at(slot).samples;
    if (is_excluded(after) && !is_excluded(before))
        ++this->ejected_count;
    else if (!is_excluded(after) && is_excluded(before))
        --this->ejected_count;
}

void slow_engine_detector::on_failure(engine_slot slot, state::time_point now)
{
    this->count_ejected();
    record& item = this->record_of(slot);
    const health before = item.machine.state();
    if (is_excluded(before) || this->ejected_count < this->allowed())
        item.machine.on_failed();
    else if (before == health::healthy)
        item.machine.on_slow();
    this->apply(slot, item, before, now);
    // Another failure delays the next probe.
    if (is_excluded(item.machine.state()))
        item.changed = now;
}

void slow_engine_detector::reinstate_excess(state::time_point now)
{
    // Healthy engines may have left the view since the others were ejected.
    while (this->ejected_count > this->allowed())
    {
        engine_slot oldest = no_index;
        for (engine_slot slot = 0; slot < this->load.slot_count(); ++slot)
        {
            if (this->load.at(slot).view_index == no_index ||
                !is_excluded(this->state_of(slot)))
                continue;
            if (oldest == no_index ||
                this->records[slot].changed < this->records[oldest].changed)
                oldest = slot;
        }
        if (oldest == no_index)
            return;
        record& item = this->records[oldest];
        const health before = item.machine.state();
        item.machine.on_reinstated();
        this->apply(oldest, item, before, now);
    }
}

bool slow_engine_detector::is_probe_due(engine_slot slot, state::time_point now) const
{
    const engine_load& engine = this->load.at(slot);
    if (this->state_of(slot) != health::ejected || engine.leaving ||
        engine.view_index == no_index)
        return false;
    const record& item = this->records[slot];
    state::milliseconds interval = this->limits.probe_interval;
    for (std::uint32_t i = 0; i < item.repeats; ++i)
        interval = std::min(interval * 2, this->limits.max_probe_interval);
    return now - item.changed >= interval;
}

std::optional<engine_slot> slow_engine_detector::next_probe(state::time_point now) const
{
    if (this->ejected_count == 0)
        return std::nullopt;
    for (engine_slot slot = 0; slot < this->records.size(); ++slot)
    {
        if (this->is_probe_due(slot, now))
            return slot;
    }
    return std::nullopt;
}

void slow_engine_detector::on_probe_sent(engine_slot slot, state::time_point now)
{
    record& item = this->record_of(slot);
    const health before = item.machine.state();
    item.machine.on_probe_sent();
    // Only new measurements count for the result of the probe.
    this->load.at(slot).first_token_us = 0.0;
    this->load.at(slot).token_gap_us = 0.0;
    this->apply(slot, item, before, now);
}

} // namespace pomelorouter::coordination
