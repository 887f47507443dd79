#include "coordination/local_load.hpp"

#include <algorithm>
#include <chrono>

namespace pomelorouter::coordination
{

namespace
{

// A sample is capped at this multiple of the mean, so that a single late packet does not
// make an engine appear slow, but three slow samples in a row do.
constexpr double max_sample_ratio = 4.0;
// Weight of a sample in the moving average: after a tenfold slowdown, ten normal samples
// bring the mean below twice the usual value.
constexpr double sample_weight = 0.2;

double as_us(state::time_point::duration time)
{
    return std::chrono::duration<double, std::micro>(time).count();
}

void add_sample(double& mean, double sample)
{
    if (mean <= 0.0)
        mean = sample;
    else
        mean += sample_weight * (std::min(sample, max_sample_ratio * mean) - mean);
}

double median_of(std::vector<double>& values)
{
    if (values.empty())
        return 0.0;
    // Uses the lower of the two middle values, so that the faster of two engines counts.
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void local_load::bind(const std::vector<state::backend_view>& view_engines)
{
    for (engine_load& engine : this->engines)
        engine.view_index = no_index;
    this->slots.clear();
    for (const state::backend_view& engine : view_engines)
    {
        const engine_slot slot = this->find_or_create(engine);
        this->engines[slot].view_index = static_cast<std::uint32_t>(this->slots.size());
        this->slots.push_back(slot);
    }
    // An engine that is no longer in the view keeps its slot until its last call has
    // ended.
    for (auto entry = this->slot_by_id.begin(); entry != this->slot_by_id.end();)
    {
        const engine_load& engine = this->engines[entry->second];
        if (engine.view_index != no_index || engine.requests > 0)
        {
            ++entry;
            continue;
        }
        this->free_slots.push_back(entry->second);
        entry = this->slot_by_id.erase(entry);
    }
}

engine_slot local_load::find_or_create(const state::backend_view& engine)
{
    const auto found = this->slot_by_id.find(engine.id);
    if (found != this->slot_by_id.end())
    {
        engine_load& known = this->engines[found->second];
        if (known.incarnation == engine.incarnation)
            return found->second;
        if (known.requests == 0)
            this->free_slots.push_back(found->second);
        known.retired = known.requests > 0;
        this->slot_by_id.erase(found);
    }
    engine_slot slot = 0;
    if (this->free_slots.empty())
    {
        slot = static_cast<engine_slot>(this->engines.size());
        this->engines.emplace_back();
    }
    else
    {
        slot = this->free_slots.back();
        this->free_slots.pop_back();
    }
    const std::uint32_t generation = this->engines[slot].generation + 1;
    this->engines[slot] = engine_load{};
    this->engines[slot].id = engine.id;
    this->engines[slot].incarnation = engine.incarnation;
    this->engines[slot].generation = generation;
    this->slot_by_id.emplace(engine.id, slot);
    return slot;
}

call_number local_load::start(engine_slot slot, std::int64_t expected_tokens,
                              bool long_work, state::time_point now)
{
    call_number number = 0;
    if (this->free_calls.empty())
    {
        number = static_cast<call_number>(this->active_calls.size());
        this->active_calls.emplace_back();
    }
    else
    {
        number = this->free_calls.back();
        this->free_calls.pop_back();
    }
    call_load& call = this->active_calls[number];
    call = call_load{};
    call.slot = slot;
    call.active = true;
    call.waiting = true;
    call.long_work = long_work;
    call.expected_tokens = expected_tokens;
    call.waiting_since = now;
    engine_load& engine = this->engines[slot];
    ++engine.requests;
    engine.long_requests += long_work ? 1 : 0;
    engine.expected_tokens += expected_tokens;
    return number;
}

void local_load::progress(call_number number, std::int64_t tokens, state::time_point now)
{
    call_load& call = this->active_calls[number];
    engine_load& engine = this->engines[call.slot];
    const double waited_us = as_us(now - call.waiting_since);
    if (tokens > 0)
    {
        if (call.has_first_token)
            add_sample(engine.token_gap_us, waited_us / static_cast<double>(tokens));
        else
            add_sample(engine.first_token_us, waited_us);
        ++engine.samples;
        call.has_first_token = true;
    }
    // Keeps one expected token if a call exceeds its estimate, since it still uses a
    // slot.
    const std::int64_t done = std::clamp<std::int64_t>(call.expected_tokens - 1, 0,
                                                       std::max<std::int64_t>(tokens, 0));
    call.expected_tokens -= done;
    engine.expected_tokens -= done;
    engine.last_progress = now;
    call.waiting = false;
    call.waiting_since = now;
}

void local_load::wait_again(call_number number, state::time_point now)
{
    this->active_calls[number].waiting = true;
    this->active_calls[number].waiting_since = now;
}

void local_load::give_up(call_number number, state::time_point now)
{
    const call_load& call = this->active_calls[number];
    engine_load& engine = this->engines[call.slot];
    double& mean = call.has_first_token ? engine.token_gap_us : engine.first_token_us;
    const double waited_us = as_us(now - call.waiting_since);
    if (!call.waiting || waited_us <= mean)
        return;
    add_sample(mean, waited_us);
    ++engine.samples;
}

void local_load::finish(call_number number)
{
    call_load& call = this->active_calls[number];
    engine_load& engine = this->engines[call.slot];
    --engine.requests;
    engine.long_requests -= call.long_work ? 1 : 0;
    engine.expected_tokens -= call.expected_tokens;
    call.active = false;
    this->free_calls.push_back(number);
    if (!engine.retired || engine.requests > 0)
        return;
    engine.retired = false;
    this->free_slots.push_back(call.slot);
}

void local_load::update_medians()
{
    this->median_values.clear();
    this->measured_engines = 0;
    for (const engine_slot slot : this->slots)
    {
        // An engine that is being probed has no measured speed yet, but counts as
        // measured, so that its probe is evaluated.
        this->measured_engines += this->engines[slot].samples > 0 ? 1 : 0;
        if (this->engines[slot].token_gap_us > 0.0)
            this->median_values.push_back(this->engines[slot].token_gap_us);
    }
    this->median_gap = median_of(this->median_values);
    this->median_values.clear();
    for (const engine_slot slot : this->slots)
    {
        if (this->engines[slot].first_token_us > 0.0)
            this->median_values.push_back(this->engines[slot].first_token_us);
    }
    this->median_first = median_of(this->median_values);
}

} // namespace pomelorouter::coordination
