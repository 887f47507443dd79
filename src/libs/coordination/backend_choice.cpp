#include "coordination/backend_choice.hpp"

#include "state/enum_table.hpp"

#include <algorithm>
#include <limits>

namespace pomelorouter::coordination
{

namespace
{

constexpr std::array<state::enum_name<choice_failure>, 10> failure_names{{
    {choice_failure::none, "none"},
    {choice_failure::no_backend, "no_backend"},
    {choice_failure::model_missing, "model_missing"},
    {choice_failure::adapter_missing, "adapter_missing"},
    {choice_failure::all_tried, "all_tried"},
    {choice_failure::overloaded, "overloaded"},
    {choice_failure::paused, "paused"},
    {choice_failure::limited, "limited"},
    {choice_failure::quarantined, "quarantined"},
    {choice_failure::stopping, "stopping"},
}};

/// Estimates that differ by less count as equal, so that gateways with the same data do
/// not all choose the same backend server.
constexpr double tie_tolerance_ms = 2.0;
/// Waiting up to this share of the target costs little; waiting beyond it costs more.
constexpr double low_wait_share = 0.4;
constexpr double low_wait_weight = 0.3;
constexpr double high_wait_weight = 2.0;

/// Whether a backend server accepts the request later.
bool is_temporary(choice_failure failure)
{
    return failure == choice_failure::paused || failure == choice_failure::limited;
}

/// Returns the cost of waiting `expected_ms` for the first byte.
double wait_cost(double expected_ms, double target_ms)
{
    const double low_wait_ms = target_ms * low_wait_share;
    return low_wait_weight * std::min(expected_ms, low_wait_ms) +
           high_wait_weight * std::max(0.0, expected_ms - low_wait_ms);
}

} // namespace

std::string backend_demand::weights() const
{
    return this->adapter.empty() ? this->model : this->model + "/" + this->adapter;
}

std::string_view to_string(choice_failure failure)
{
    return name_of(failure_names, failure);
}

backend_chooser::backend_chooser(std::string own_zone, const speed_model& speeds,
                                 double zone_cost_ms_per_mb)
    : zone(std::move(own_zone)),
      speed(speeds),
      balance(this->zone, zone_prices{speeds.zone_hop_ms, zone_cost_ms_per_mb})
{
}

std::string backend_chooser::process_key(const state::backend_entry& entry)
{
    return entry.id + "@" + std::to_string(entry.incarnation);
}

backend_choice
backend_chooser::choose(state::time_point now, const backend_directory& directory,
                        const backend_loads& loads, const backend_limits& limits,
                        const backend_demand& demand, const std::set<std::string>& tried,
                        double draw) const
{
    backend_choice best;
    best.failure = choice_failure::no_backend;
    double best_cost = std::numeric_limits<double>::infinity();
    for (const auto& [id, backend] : directory.all())
    {
        const state::backend_entry& entry = backend->entry;
        if (entry.service != demand.service || backend->is_leaving)
            continue;
        if (!demand.model.empty() && entry.find_model(demand.model) == nullptr)
        {
            if (best.failure == choice_failure::no_backend)
                best.failure = choice_failure::model_missing;
            continue;
        }
        if (!demand.adapter.empty() && !entry.has_adapter(demand.model, demand.adapter))
        {
            if (best.failure == choice_failure::no_backend ||
                best.failure == choice_failure::model_missing)
                best.failure = choice_failure::adapter_missing;
            continue;
        }
        if (tried.count(id) > 0)
        {
            if (best.failure != choice_failure::none && !is_temporary(best.failure))
                best.failure = choice_failure::all_tried;
            continue;
        }
        const std::string key = process_key(entry);
        const bool lacks_permit = !limits.may_send(now, key);
        state::time_point available_at = loads.paused_until(key);
        if (lacks_permit)
        {
            best.without_permit.push_back(key);
            available_at = std::max(available_at, limits.next_permit(now, key));
        }
        if (lacks_permit || now < available_at)
        {
            if (best.failure == choice_failure::none)
                continue;
            best.available_at = is_temporary(best.failure)
                                    ? std::min(best.available_at, available_at)
                                    : available_at;
            const bool is_limited =
                lacks_permit || best.failure == choice_failure::limited;
            best.failure = is_limited ? choice_failure::limited : choice_failure::paused;
            continue;
        }
        ++best.candidates;
        backend_choice option;
        // Derives another pseudo-random value for each candidate to break ties.
        draw = draw * 7.0 + 0.137;
        draw -= static_cast<double>(static_cast<std::int64_t>(draw));
        const double cost = this->estimate(now, *backend, loads, demand, option) +
                            draw * tie_tolerance_ms;
        if (cost >= best_cost)
            continue;
        best_cost = cost;
        best.backend = backend;
        best.failure = choice_failure::none;
        best.expected_ms = option.expected_ms;
        best.idle_ms = option.idle_ms;
        best.uncached_tokens = option.uncached_tokens;
    }
    return best;
}

double backend_chooser::estimate(state::time_point now, const known_backend& backend,
                                 const backend_loads& loads, const backend_demand& demand,
                                 backend_choice& result) const
{
    const std::string key = process_key(backend.entry);
    const load_summary load = loads.summary(now, key);
    const double active = load.active + load.peer_active;
    const double slots = std::max(backend.entry.slots, 1);
    double wait_ms = 0.0;
    if (demand.model.empty())
    {
        result.idle_ms = this->speed.plain_service_ms;
        wait_ms =
            std::max(0.0, active + 1.0 - slots) * this->speed.plain_service_ms / slots;
        // A backend server slows down before all its slots are in use.
        wait_ms += active / slots * this->speed.plain_service_ms;
    }
    else
    {
        std::uint32_t cached = 0;
        const auto cache = this->caches.find(key);
        if (cache != this->caches.end())
            cached = cache->second.cached_tokens(demand.weights(), demand.parts);
        result.uncached_tokens =
            demand.prompt_tokens - std::min(cached, demand.prompt_tokens);
        result.idle_ms = this->speed.first_step_ms +
                         result.uncached_tokens / this->speed.prompt_tokens_per_ms;
        wait_ms = load.waiting_tokens / this->speed.prompt_tokens_per_ms;
        wait_ms += std::max(0.0, active + 1.0 - slots) * this->speed.first_step_ms;
        wait_ms += active;
    }
    result.expected_ms = (result.idle_ms + wait_ms) * std::max(load.slow_ratio, 1.0);
    double cost = demand.model.empty() ? result.expected_ms
                                       : wait_cost(result.expected_ms, demand.target_ms);
    cost += std::max(load.overdue_ms, 0.0);
    cost += load.failure_share * this->speed.failure_cost_ms;
    if (load.is_full)
        cost += this->speed.refusal_cost_ms;
    cost += this->balance.cost_ms(
        now, demand.service, backend.entry.zone, result.expected_ms, demand.target_ms,
        request_bytes(demand.prompt_tokens, demand.output_tokens), demand.zone_draw);
    if (!demand.model.empty())
        cost += this->interference_cost(load, demand, result.uncached_tokens);
    return cost;
}

/// Processing a prompt delays the next tokens of the streams on the same engine. This
/// cost keeps prompts and long streams on different engines unless the alternative is
/// much slower.
double backend_chooser::interference_cost(const load_summary& load,
                                          const backend_demand& demand,
                                          std::uint32_t uncached_tokens) const
{
    constexpr double unit_ms = 100.0;
    constexpr double ms_per_s = 1000.0;
    const double prompt_units =
        uncached_tokens / this->speed.prompt_tokens_per_ms / unit_ms;
    double cost = prompt_units * load.long_streams * this->speed.interference_cost_ms;
    if (demand.output_tokens >= long_stream_tokens)
    {
        const double units_per_s =
            load.prompt_rate / this->speed.prompt_tokens_per_ms / unit_ms;
        cost += units_per_s * this->speed.interference_cost_ms * demand.output_tokens *
                this->speed.first_step_ms / ms_per_s;
    }
    return cost;
}

void backend_chooser::on_sent(const known_backend& backend, const backend_demand& demand,
                              std::int64_t cache_tokens)
{
    if (demand.model.empty())
        return;
    const auto cache =
        this->caches.try_emplace(process_key(backend.entry), prompt_cache(cache_tokens))
            .first;
    cache->second.record(demand.weights(), demand.parts);
}

void backend_chooser::retain(const backend_directory& directory)
{
    std::set<std::string, std::less<>> process_keys;
    for (const auto& [id, backend] : directory.all())
        process_keys.insert(process_key(backend->entry));
    for (auto item = this->caches.begin(); item != this->caches.end();)
        item = process_keys.count(item->first) == 0 ? this->caches.erase(item)
                                                    : std::next(item);
}

} // namespace pomelorouter::coordination
