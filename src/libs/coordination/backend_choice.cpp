#include "coordination/backend_choice.hpp"

#include "state/enum_table.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace pomelorouter::coordination
{

namespace
{

constexpr std::array<state::enum_name<choice_failure>, 11> failure_names{{
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
    {choice_failure::software_missing, "software_missing"},
}};

constexpr std::array<state::enum_name<candidate_state>, 11> candidate_names{{
    {candidate_state::usable, "usable"},
    {candidate_state::leaving, "leaving"},
    {candidate_state::other_software, "other_software"},
    {candidate_state::model_missing, "model_missing"},
    {candidate_state::adapter_missing, "adapter_missing"},
    {candidate_state::already_tried, "already_tried"},
    {candidate_state::limited, "limited"},
    {candidate_state::paused, "paused"},
    {candidate_state::memory_full, "memory_full"},
    {candidate_state::streams_behind, "streams_behind"},
    {candidate_state::too_late, "too_late"},
}};

/// Costs that differ by less count as equal, so that gateways with the same data do not
/// all choose the same backend server.
constexpr double tie_tolerance_ms = 2.0;
/// Waiting up to this share of the target costs little; waiting beyond it costs more.
constexpr double low_wait_share = 0.4;
constexpr double low_wait_weight = 0.3;
constexpr double high_wait_weight = 2.0;
/// Share of the maximum number of output tokens that a request is assumed to generate.
/// Most requests end earlier, and one that might end in time is better sent than refused.
constexpr double expected_output_share = 0.5;
/// Pauses of streams cost nothing up to this share of their target: estimates of the work
/// at an engine are uncertain by about the work that arrives between two reports.
constexpr double harmless_gap_share = 0.5;
/// Long streams that a pause makes late count up to this number, so that an engine with
/// many of them is still used when all others have no room.
constexpr std::uint32_t max_harmed_streams = 4;
/// Share of the time by which prompts lengthen a stream that counts as cost. A stream
/// whose tokens are all a little late is still on time.
constexpr double stretch_weight = 0.1;
/// Share of an engine's memory from which on it is avoided by long streams, which would
/// be the first to be interrupted.
constexpr double ample_memory_share = 0.75;
/// Share of an engine's time that prompts may take while streams there are behind, and
/// the same for prompts that are less urgent than such a stream.
constexpr double max_share_beside_streams = 0.7;
constexpr double max_share_beside_urgent_streams = 0.45;
constexpr double ms_per_s = 1000.0;

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

/// Returns 0 up to `low`, 1 at 1, and values in between, and beyond 1, on the line.
double ramp(double value, double low)
{
    return std::max(0.0, value - low) / (1.0 - low);
}

bool is_long(const backend_demand& demand)
{
    return demand.output_tokens >= long_stream_tokens;
}

/// Returns the cost of a first byte after `expected_ms`, and of a pause of `gap_ms` for
/// the long streams at the engine. The engine processes the prompts in line between the
/// tokens of its streams.
double prompt_cost(const backend_demand& demand, double expected_ms, double gap_ms,
                   std::uint32_t long_streams)
{
    double cost = wait_cost(expected_ms, demand.target_ms);
    if (demand.target_gap_ms > 0.0)
    {
        cost += ramp(gap_ms / demand.target_gap_ms, harmless_gap_share) * long_streams *
                demand.target_ms;
    }
    return cost;
}

/// Whether a request fits into the memory of an engine beside `used` tokens, if other
/// gateways have sent `unseen` tokens since.
bool has_memory(const backend_demand& demand, double used, double unseen)
{
    return demand.engine_tokens <= 0 || used + unseen + demand.memory_tokens() <=
                                            static_cast<double>(demand.engine_tokens);
}

/// Returns the share of an engine's time that prompts may take for the request to be sent
/// there.
double max_prompt_share_beside(const backend_demand& demand, const load_summary& load)
{
    const std::uint32_t behind =
        demand.yields ? load.behind_streams : load.urgent_behind_streams;
    if (behind == 0)
        return 1.0;
    return demand.yields && load.urgent_behind_streams > 0
               ? max_share_beside_urgent_streams
               : max_share_beside_streams;
}

/// Adds a backend server to the terms of a choice that leaves it out.
void leave_out(std::vector<candidate_terms>& terms, const known_backend& backend,
               candidate_state reason, std::optional<state::time_point> available = {})
{
    candidate_terms item;
    item.backend = backend.entry.id;
    item.zone = backend.entry.zone;
    item.state = reason;
    item.available_at = available;
    terms.push_back(std::move(item));
}

} // namespace

std::string backend_demand::weights() const
{
    return this->adapter.empty() ? this->model : this->model + "/" + this->adapter;
}

std::uint32_t backend_demand::memory_tokens() const
{
    return this->model.empty() ? 0 : this->prompt_tokens + this->output_tokens;
}

std::string_view to_string(choice_failure failure)
{
    return name_of(failure_names, failure);
}

std::string_view to_string(candidate_state state)
{
    return name_of(candidate_names, state);
}

backend_chooser::backend_chooser(std::string own_zone, const speed_model& speeds,
                                 double zone_cost_ms_per_mb)
    : zone(std::move(own_zone)),
      speed(speeds),
      learned(speeds.engines),
      balance(this->zone, zone_prices{speeds.zone_hop_ms, zone_cost_ms_per_mb})
{
}

std::string backend_chooser::process_key(const state::backend_entry& entry)
{
    return coordination::process_key(entry);
}

backend_choice
backend_chooser::choose(state::time_point now, const backend_directory& directory,
                        const backend_loads& loads, const backend_limits& limits,
                        const backend_demand& demand, const std::set<std::string>& tried,
                        double draw, std::vector<candidate_terms>* terms) const
{
    backend_choice best;
    best.failure = choice_failure::no_backend;
    const engine_pace pace =
        demand.model.empty() ? engine_pace() : this->learned.of(now, demand.service);
    const request_context context{now, demand, demand.weights(), pace,
                                  (loads.report_age_ms(now) + this->speed.report_age_ms) /
                                      ms_per_s};
    std::vector<option> options;
    options.reserve(directory.all().size());
    bool has_late_option = false;
    bool lacks_memory = false;
    bool has_behind_streams = false;
    std::optional<option> roomiest;
    double least_memory = std::numeric_limits<double>::infinity();
    for (const auto& [id, backend] : directory.all())
    {
        const state::backend_entry& entry = backend->entry;
        if (entry.service != demand.service)
            continue;
        if (backend->is_leaving)
        {
            if (terms != nullptr)
                leave_out(*terms, *backend, candidate_state::leaving);
            continue;
        }
        if (demand.software && entry.software != *demand.software)
        {
            if (terms != nullptr)
                leave_out(*terms, *backend, candidate_state::other_software);
            if (best.failure == choice_failure::no_backend)
                best.failure = choice_failure::software_missing;
            continue;
        }
        if (!demand.model.empty() && entry.find_model(demand.model) == nullptr)
        {
            if (terms != nullptr)
                leave_out(*terms, *backend, candidate_state::model_missing);
            if (best.failure == choice_failure::no_backend ||
                best.failure == choice_failure::software_missing)
                best.failure = choice_failure::model_missing;
            continue;
        }
        if (!demand.adapter.empty() && !entry.has_adapter(demand.model, demand.adapter))
        {
            if (terms != nullptr)
                leave_out(*terms, *backend, candidate_state::adapter_missing);
            if (best.failure == choice_failure::no_backend ||
                best.failure == choice_failure::software_missing ||
                best.failure == choice_failure::model_missing)
                best.failure = choice_failure::adapter_missing;
            continue;
        }
        if (tried.count(id) > 0)
        {
            if (terms != nullptr)
                leave_out(*terms, *backend, candidate_state::already_tried);
            if (best.failure != choice_failure::none && !is_temporary(best.failure))
                best.failure = choice_failure::all_tried;
            continue;
        }
        const std::string& key = backend->process;
        const bool lacks_permit = !limits.may_send(now, key);
        state::time_point available_at = loads.paused_until(key);
        if (lacks_permit)
        {
            best.without_permit.push_back(key);
            available_at = std::max(available_at, limits.next_permit(now, key));
        }
        if (lacks_permit || now < available_at)
        {
            if (terms != nullptr)
                leave_out(*terms, *backend,
                          lacks_permit ? candidate_state::limited
                                       : candidate_state::paused,
                          available_at);
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
        const load_summary load = loads.summary(now, key);
        if (!has_memory(demand, static_cast<double>(load.memory_tokens),
                        load.peer_prompt_rate * context.report_age_s))
        {
            if (terms != nullptr)
                leave_out(*terms, *backend, candidate_state::memory_full);
            lacks_memory = true;
            // A retry has been delayed already, so it is sent although the engine may
            // preempt it.
            if (demand.is_retry && load.memory_tokens < least_memory)
            {
                least_memory = load.memory_tokens;
                roomiest = this->estimate(context, backend, load);
            }
            continue;
        }
        if (!demand.is_retry && !demand.model.empty() &&
            pace.prompt_share(load.prompt_rate) > max_prompt_share_beside(demand, load))
        {
            if (terms != nullptr)
                leave_out(*terms, *backend, candidate_state::streams_behind);
            has_behind_streams = true;
            continue;
        }
        const option candidate = this->estimate(context, backend, load);
        has_late_option |= !candidate.ends_in_time;
        if (terms != nullptr)
            terms->push_back(this->describe(context, candidate, load));
        options.push_back(candidate);
        best.failure = choice_failure::none;
    }
    if (options.empty() && roomiest && !is_temporary(best.failure) &&
        has_memory(demand, 0.0, 0.0))
    {
        options.push_back(*roomiest);
        best.failure = choice_failure::none;
    }
    best.candidates = options.size();
    if (options.empty())
    {
        if (has_behind_streams && !is_temporary(best.failure))
        {
            best.failure = choice_failure::overloaded;
            best.has_behind_streams = true;
            return best;
        }
        if (lacks_memory && !is_temporary(best.failure))
        {
            best.failure = choice_failure::overloaded;
            best.is_too_large = !has_memory(demand, 0.0, 0.0);
            best.is_memory_full = !best.is_too_large;
        }
        return best;
    }
    if (has_late_option)
    {
        const auto first_late =
            std::stable_partition(options.begin(), options.end(),
                                  [](const option& item) { return item.ends_in_time; });
        if (first_late != options.begin())
            options.erase(first_late, options.end());
        else if (!demand.is_retry)
        {
            best.failure = choice_failure::overloaded;
            best.expected_ms =
                std::min_element(options.begin(), options.end(),
                                 [](const option& left, const option& right)
                                 { return left.expected_ms < right.expected_ms; })
                    ->expected_ms;
            return best;
        }
    }
    const option& chosen = pick(options, draw);
    best.backend = *chosen.backend;
    best.expected_ms = chosen.expected_ms;
    best.idle_ms = chosen.idle_ms;
    best.queue_ms = chosen.queue_ms;
    best.usual_ms = chosen.usual_ms;
    best.stream_ms = chosen.stream_ms;
    best.uncached_tokens = chosen.uncached_tokens;
    best.waiting_tokens = chosen.waiting_tokens;
    return best;
}

backend_chooser::option backend_chooser::estimate(const request_context& context,
                                                  const known_backend_ptr& backend,
                                                  const load_summary& load) const
{
    option result;
    result.backend = &backend;
    result.cost = context.demand.model.empty()
                      ? this->plain_cost(*backend, load, result)
                      : this->engine_cost(context, *backend, load, result);
    result.cost +=
        this->extra_costs_of(context, *backend, load, result.expected_ms).sum();
    return result;
}

extra_costs backend_chooser::extra_costs_of(const request_context& context,
                                            const known_backend& backend,
                                            const load_summary& load,
                                            double expected_ms) const
{
    extra_costs result;
    result.overdue_ms = std::max(load.overdue_ms, 0.0);
    result.failure_ms = load.failure_share * this->speed.failure_cost_ms;
    if (load.is_full)
        result.refusal_ms = this->speed.refusal_cost_ms;
    result.zone_ms = this->balance.cost_ms(
        context.now, context.demand.service, backend.entry.zone, expected_ms,
        context.demand.target_ms,
        request_bytes(context.demand.prompt_tokens, context.demand.output_tokens),
        context.demand.zone_draw);
    return result;
}

candidate_terms backend_chooser::describe(const request_context& context,
                                          const option& item,
                                          const load_summary& load) const
{
    const known_backend& backend = **item.backend;
    candidate_terms result;
    result.backend = backend.entry.id;
    result.zone = backend.entry.zone;
    result.state =
        item.ends_in_time ? candidate_state::usable : candidate_state::too_late;
    result.cost_ms = item.cost;
    result.extra = this->extra_costs_of(context, backend, load, item.expected_ms);
    result.expected_ms = item.expected_ms;
    result.idle_ms = item.idle_ms;
    result.queue_ms = item.queue_ms;
    result.stream_ms = item.stream_ms;
    result.uncached_tokens = item.uncached_tokens;
    return result;
}

double backend_chooser::plain_cost(const known_backend& backend, const load_summary& load,
                                   option& result) const
{
    const double slots = std::max(backend.entry.slots, 1);
    const double active = load.active + load.peer_active;
    double wait_ms =
        std::max(0.0, active + 1.0 - slots) * this->speed.plain_service_ms / slots;
    // A backend server slows down before all its slots are in use.
    wait_ms += active / slots * this->speed.plain_service_ms;
    result.idle_ms = this->speed.plain_service_ms;
    result.usual_ms = result.idle_ms + wait_ms;
    result.expected_ms = result.usual_ms * std::max(load.slow_ratio, 1.0);
    result.queue_ms = result.expected_ms - result.idle_ms;
    return result.expected_ms;
}

double backend_chooser::engine_cost(const request_context& context,
                                    const known_backend& backend,
                                    const load_summary& load, option& result) const
{
    const backend_demand& demand = context.demand;
    const engine_pace& pace = context.pace;
    const double slots = std::max(backend.entry.slots, 1);
    std::uint32_t cached = 0;
    const auto cache = this->caches.find(backend.process);
    if (cache != this->caches.end())
        cached = cache->second.cached_tokens(context.weights, demand.parts);
    result.uncached_tokens =
        demand.prompt_tokens - std::min(cached, demand.prompt_tokens);
    result.waiting_tokens = load.waiting_tokens;
    const double active = load.active + load.peer_active;
    const double slow_ratio = std::max(load.slow_ratio, 1.0);
    const double own_prompt_ms = result.uncached_tokens / pace.prompt_tokens_per_ms;
    const double waiting_ms = load.waiting_tokens / pace.prompt_tokens_per_ms;
    result.idle_ms = pace.first_step_ms + own_prompt_ms;
    const double line_ms =
        waiting_ms + std::max(0.0, active + 1.0 - slots) * pace.first_step_ms;
    result.queue_ms = line_ms * slow_ratio;
    result.usual_ms = result.idle_ms + line_ms + active * this->speed.running_request_ms;
    result.expected_ms = result.usual_ms * slow_ratio;
    const double step_ms = pace.ms_per_output_token(active) * slow_ratio;
    const double gap_ms = step_ms + (waiting_ms + own_prompt_ms) * slow_ratio;
    const std::uint32_t harmed =
        std::min(load.long_streams + (is_long(demand) ? 1U : 0U), max_harmed_streams);
    double cost = prompt_cost(demand, result.expected_ms, gap_ms, harmed);
    const double unseen_ms = load.peer_prompt_rate * context.report_age_s /
                             pace.prompt_tokens_per_ms * slow_ratio;
    result.unseen_cost =
        prompt_cost(demand, result.expected_ms + unseen_ms, gap_ms + unseen_ms, harmed) -
        cost;

    const double prompt_share = pace.prompt_share(load.prompt_rate * slow_ratio);
    const double alone_ms = step_ms * demand.output_tokens;
    const double stream_ms = alone_ms / (1.0 - prompt_share);
    result.stream_ms = stream_ms * expected_output_share;
    if (demand.deadline != state::time_point())
    {
        const double left_ms =
            std::chrono::duration<double, std::milli>(demand.deadline - context.now)
                .count();
        result.ends_in_time = result.expected_ms + result.stream_ms <= left_ms;
    }
    if (!is_long(demand))
        return cost;
    cost += stretch_weight * (stream_ms - alone_ms);
    if (demand.engine_tokens > 0)
    {
        const double used =
            static_cast<double>(load.memory_tokens) + demand.memory_tokens();
        cost +=
            ramp(used / static_cast<double>(demand.engine_tokens), ample_memory_share) *
            demand.target_ms;
    }
    return cost;
}

/// Chooses at random, in proportion to the room below a level of cost. The level is the
/// one to which the prompts that other gateways have sent since their last reports would
/// raise the cheapest backend servers. If all gateways chose the cheapest one, all would
/// choose the same until the next reports.
const backend_chooser::option& backend_chooser::pick(const std::vector<option>& options,
                                                     double draw)
{
    double unseen_cost = tie_tolerance_ms;
    const option* cheapest = &options.front();
    for (const option& item : options)
    {
        unseen_cost += item.unseen_cost;
        if (item.cost < cheapest->cost)
            cheapest = &item;
    }
    std::vector<double> costs;
    costs.reserve(options.size());
    for (const option& item : options)
    {
        if (item.cost < cheapest->cost + unseen_cost)
            costs.push_back(item.cost);
    }
    std::sort(costs.begin(), costs.end());
    double level = 0.0;
    double sum = 0.0;
    for (std::size_t i = 0; i < costs.size(); ++i)
    {
        sum += costs[i];
        level = (sum + unseen_cost) / static_cast<double>(i + 1);
        if (i + 1 < costs.size() && level <= costs[i + 1])
            break;
    }
    double remaining = draw * unseen_cost;
    for (const option& item : options)
    {
        const double room = level - item.cost;
        if (room <= 0.0)
            continue;
        remaining -= room;
        if (remaining < 0.0)
            return item;
    }
    return *cheapest;
}

void backend_chooser::on_sent(const known_backend& backend, const backend_demand& demand,
                              std::int64_t cache_tokens)
{
    if (demand.model.empty())
        return;
    const auto cache =
        this->caches.try_emplace(backend.process, prompt_cache(cache_tokens)).first;
    cache->second.record(demand.weights(), demand.parts);
}

void backend_chooser::retain(const backend_directory& directory)
{
    std::set<std::string, std::less<>> process_keys;
    for (const auto& [id, backend] : directory.all())
        process_keys.insert(backend->process);
    for (auto item = this->caches.begin(); item != this->caches.end();)
        item = process_keys.count(item->first) == 0 ? this->caches.erase(item)
                                                    : std::next(item);
}

} // namespace pomelorouter::coordination
