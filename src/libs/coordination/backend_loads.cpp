#include "coordination/backend_loads.hpp"

#include <algorithm>
#include <cmath>

namespace pomelorouter::coordination
{

namespace
{

/// Weight of the newest call in the moving averages.
constexpr double ewma_weight = 0.2;
/// Time constant with which the averages return to normal, so that a backend server that
/// is avoided gets calls again.
constexpr double recovery_s = 4.0;
/// A backend server that refused a call counts as full for this long.
constexpr state::milliseconds full_duration{150};
/// Reports of peers are ignored after this time.
constexpr state::milliseconds peer_report_ttl{1500};
constexpr state::seconds record_ttl{60};
constexpr double prompt_window_s = 1.5;
constexpr double max_slow_ratio = 20.0;

double elapsed_ms(state::time_point from, state::time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

double prompt_decay(state::time_point from, state::time_point to)
{
    return std::exp(-elapsed_ms(from, to) / (prompt_window_s * 1000.0));
}

bool is_long(const call_work& work)
{
    return work.output_tokens >= long_stream_tokens;
}

/// Returns the factor by which a deviation measured at `changed` has decayed.
double recovery_decay(state::time_point changed, state::time_point now)
{
    return std::exp(-elapsed_ms(changed, now) / (recovery_s * 1000.0));
}

void add_report(backend_loads::load_map& sum, const backend_loads::load_map& report,
                state::time_point::duration age)
{
    if (age > peer_report_ttl)
        return;
    for (const auto& [backend, load] : report)
        sum[backend] += load;
}

std::uint32_t saturating_difference(std::uint32_t sum, std::uint32_t part)
{
    return sum - std::min(sum, part);
}

} // namespace

peer_load& peer_load::operator+=(const peer_load& more)
{
    this->active += more.active;
    this->waiting_tokens += more.waiting_tokens;
    this->long_streams += more.long_streams;
    this->prompt_rate += more.prompt_rate;
    this->memory_tokens += more.memory_tokens;
    this->behind_streams += more.behind_streams;
    this->urgent_behind_streams += more.urgent_behind_streams;
    return *this;
}

peer_load& peer_load::operator-=(const peer_load& part)
{
    this->active = saturating_difference(this->active, part.active);
    this->waiting_tokens =
        saturating_difference(this->waiting_tokens, part.waiting_tokens);
    this->long_streams = saturating_difference(this->long_streams, part.long_streams);
    this->prompt_rate -= std::min(this->prompt_rate, part.prompt_rate);
    this->memory_tokens = saturating_difference(this->memory_tokens, part.memory_tokens);
    this->behind_streams =
        saturating_difference(this->behind_streams, part.behind_streams);
    this->urgent_behind_streams =
        saturating_difference(this->urgent_behind_streams, part.urgent_behind_streams);
    return *this;
}

backend_loads::call_id backend_loads::begin(state::time_point now,
                                            const std::string& backend,
                                            const call_work& work)
{
    const call_id id = ++this->last_call;
    this->calls[id] = {backend, now, work, false,
                       stream_progress(work.deadline, work.output_tokens)};
    record& target = this->records[backend];
    target.active.push_back(id);
    target.prompt_tokens =
        target.prompt_tokens * prompt_decay(target.prompt_updated, now) +
        work.prompt_tokens;
    target.prompt_updated = now;
    return id;
}

void backend_loads::on_first_byte(state::time_point now, call_id id)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end() || found->second.has_first_byte)
        return;
    call& item = found->second;
    item.has_first_byte = true;
    if (item.work.expected_ms <= 0.0)
        return;
    record& target = this->records[item.backend];
    const double ratio =
        std::min(elapsed_ms(item.started, now) / item.work.expected_ms, max_slow_ratio);
    const double before =
        1.0 + (target.slow_ratio - 1.0) * recovery_decay(target.changed, now);
    target.slow_ratio = before + (ratio - before) * ewma_weight;
    target.failure_share *= recovery_decay(target.changed, now);
    target.changed = now;
}

void backend_loads::on_events(state::time_point now, call_id id, std::uint64_t events)
{
    const auto found = this->calls.find(id);
    if (found != this->calls.end())
        found->second.progress.on_events(now, events);
}

void backend_loads::end(state::time_point now, call_id id, call_result result)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
        return;
    record& target = this->records[found->second.backend];
    auto& active = target.active;
    active.erase(std::remove(active.begin(), active.end(), id), active.end());
    this->calls.erase(found);
    if (result == call_result::refused)
        target.full_until = now + full_duration;
    if (result != call_result::answered && result != call_result::failed)
        return;
    const double share = recovery_decay(target.changed, now);
    target.slow_ratio = 1.0 + (target.slow_ratio - 1.0) * share;
    const double before = target.failure_share * share;
    const double sample = result == call_result::failed ? 1.0 : 0.0;
    target.failure_share = before + (sample - before) * ewma_weight;
    target.changed = now;
}

void backend_loads::on_pause(state::time_point now, const std::string& backend,
                             state::milliseconds duration)
{
    record& target = this->records[backend];
    target.paused_until =
        std::max(target.paused_until, now + std::min(duration, max_backend_pause));
}

void backend_loads::set_peer(state::time_point now, const report_source& peer,
                             load_map loads)
{
    this->peers[peer] = {now, std::move(loads)};
}

void backend_loads::forget_peer(const report_source& peer)
{
    this->peers.erase(peer);
}

backend_loads::load_map backend_loads::own_loads(state::time_point now) const
{
    load_map result;
    for (const auto& [id, item] : this->calls)
    {
        peer_load& load = result[item.backend];
        ++load.active;
        load.memory_tokens += item.work.memory_tokens;
        if (!item.has_first_byte)
            load.waiting_tokens += item.work.prompt_tokens;
        if (is_long(item.work))
            ++load.long_streams;
        if (item.progress.is_behind(now))
        {
            ++load.behind_streams;
            load.urgent_behind_streams += item.work.is_urgent ? 1 : 0;
        }
    }
    for (const auto& [backend, item] : this->records)
    {
        const double tokens = item.prompt_tokens * prompt_decay(item.prompt_updated, now);
        if (tokens >= 1.0)
            result[backend].prompt_rate = tokens / prompt_window_s;
    }
    return result;
}

backend_loads::load_map backend_loads::zone_loads(state::time_point now) const
{
    load_map result = this->own_loads(now);
    for (const auto& [peer, report] : this->peers)
    {
        if (peer.scope == protocol::load_scope::gateway)
            add_report(result, report.loads, now - report.received);
    }
    return result;
}

backend_loads::load_map backend_loads::all_loads(state::time_point now) const
{
    load_map result = this->own_loads(now);
    for (const auto& [peer, report] : this->peers)
        add_report(result, report.loads, now - report.received);
    return result;
}

const backend_loads::load_map* backend_loads::loads_of(state::time_point now,
                                                       const report_source& peer) const
{
    const auto found = this->peers.find(peer);
    const bool is_known =
        found != this->peers.end() && now - found->second.received <= peer_report_ttl;
    return is_known ? &found->second.loads : nullptr;
}

load_summary backend_loads::summary(state::time_point now, std::string_view backend) const
{
    load_summary result;
    const auto found = this->records.find(backend);
    if (found != this->records.end())
    {
        const record& item = found->second;
        const double share = recovery_decay(item.changed, now);
        result.failure_share = item.failure_share * share;
        result.slow_ratio = 1.0 + (item.slow_ratio - 1.0) * share;
        result.is_full = now < item.full_until;
        result.active = static_cast<std::uint32_t>(item.active.size());
        result.prompt_rate =
            item.prompt_tokens * prompt_decay(item.prompt_updated, now) / prompt_window_s;
        for (const call_id id : item.active)
        {
            const call& current = this->calls.at(id);
            result.memory_tokens += current.work.memory_tokens;
            if (is_long(current.work))
                ++result.long_streams;
            if (current.progress.is_behind(now))
            {
                ++result.behind_streams;
                result.urgent_behind_streams += current.work.is_urgent ? 1 : 0;
            }
            if (current.has_first_byte)
                continue;
            result.waiting_tokens += current.work.prompt_tokens;
            result.overdue_ms =
                std::max(result.overdue_ms,
                         elapsed_ms(current.started, now) - current.work.expected_ms);
        }
    }
    for (const auto& [peer, report] : this->peers)
    {
        if (now - report.received > peer_report_ttl)
            continue;
        const auto load = report.loads.find(backend);
        if (load == report.loads.end())
            continue;
        result.peer_active += load->second.active;
        result.waiting_tokens += load->second.waiting_tokens;
        result.long_streams += load->second.long_streams;
        result.prompt_rate += load->second.prompt_rate;
        result.peer_prompt_rate += load->second.prompt_rate;
        result.memory_tokens += load->second.memory_tokens;
        result.behind_streams += load->second.behind_streams;
        result.urgent_behind_streams += load->second.urgent_behind_streams;
    }
    return result;
}

state::time_point backend_loads::paused_until(std::string_view backend) const
{
    const auto found = this->records.find(backend);
    return found == this->records.end() ? state::time_point()
                                        : found->second.paused_until;
}

double backend_loads::report_age_ms(state::time_point now) const
{
    double sum = 0.0;
    std::size_t count = 0;
    for (const auto& [peer, report] : this->peers)
    {
        if (now - report.received > peer_report_ttl)
            continue;
        sum += elapsed_ms(report.received, now);
        ++count;
    }
    return count == 0 ? 0.0 : sum / static_cast<double>(count);
}

state::time_point backend_loads::reported_at() const
{
    state::time_point newest{};
    for (const auto& [peer, report] : this->peers)
        newest = std::max(newest, report.received);
    return newest;
}

void backend_loads::forget_idle(state::time_point now)
{
    for (auto item = this->records.begin(); item != this->records.end();)
    {
        const bool idle =
            item->second.active.empty() && now - item->second.changed > record_ttl &&
            now >= item->second.full_until && now >= item->second.paused_until;
        item = idle ? this->records.erase(item) : std::next(item);
    }
}

} // namespace pomelorouter::coordination
