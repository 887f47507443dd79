#include "coordination/team_allowances.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pomelorouter::coordination
{

namespace
{

using state::milliseconds;

/// In any time of this length, a team may use its rate times the length, and its burst.
/// One slot is in progress.
constexpr milliseconds slot_length{200};
constexpr double slot_s = 0.2;
constexpr double window_s = 8.0;
/// Slots over which reported rates are averaged, besides the one in progress, and those
/// over which the own part of the demand is averaged.
constexpr std::size_t rate_slots = 5;
constexpr std::size_t share_slots = 12;
/// Age of the newest slot that all gateways know: a report takes up to 0.6 s.
constexpr std::size_t reported_slots = 3;
constexpr double report_delay_s = 0.6;
/// The others count as unknown this long after their last report.
constexpr milliseconds max_report_age{1000};
/// Levels grow for this long at most between two updates, so that a process that was
/// suspended does not accumulate.
constexpr milliseconds max_elapsed{500};
/// A gateway keeps its part for this long after it was last alive, or first named.
constexpr milliseconds known_time{60000};
/// Part of the room that all gateways may use before they know of one another's use.
/// They may use it twice: once from their levels, and once again from what these grow by
/// while reports are on the way.
constexpr double unreported_share = 0.5;
/// Part of an allowance that is divided evenly, while the team uses less than its limit
/// and while it asks for more. The rest follows the demand.
constexpr double even_share = 0.6;
constexpr double even_share_over_limit = 0.1;
/// With less room than this part of a window, or a demand above this multiple of the
/// limit, the team counts as over its limit. Small teams exceed their rate for a second
/// now and then by chance.
constexpr double ample_room_share = 0.15;
constexpr double ample_demand_ratio = 1.5;
/// Weight of the largest recent cost when the next request is smaller.
constexpr double cost_decay = 0.95;
/// Refused requests are told to return within this time, in which their order can be
/// kept.
constexpr double max_promised_s = 2.0;
constexpr milliseconds min_retry_after{50};
constexpr milliseconds max_retry_after{8000};

double seconds_of(state::time_point::duration time)
{
    return std::chrono::duration<double>(time).count();
}

double window_limit(const state::team_allowance& allowance)
{
    return allowance.per_s * window_s + allowance.burst;
}

} // namespace

void team_allowances::set_teams(state::time_point now,
                                const std::vector<state::team>& newest)
{
    this->advance(now);
    std::map<std::string, team_state, std::less<>> kept;
    for (const state::team& item : newest)
    {
        if (!item.allowance.is_limited())
            continue;
        const auto found = this->teams.find(item.name);
        team_state& team = kept[item.name];
        if (found != this->teams.end())
            team = found->second;
        const double before = window_limit(team.allowance);
        const bool is_same_unit = team.allowance.unit == item.allowance.unit;
        const double ratio = before > 0.0 && is_same_unit
                                 ? std::min(window_limit(item.allowance) / before, 1.0)
                                 : 1.0;
        if (!is_same_unit)
            team = {};
        // What was used within a higher limit counts as the same part of the lower one.
        for (slot& past_use : team.slots)
        {
            past_use.asked *= ratio;
            past_use.own *= ratio;
            past_use.others *= ratio;
        }
        team.level *= ratio;
        team.allowance = item.allowance;
    }
    this->teams = std::move(kept);
    this->plan_all();
}

void team_allowances::set_known(state::time_point now,
                                const std::vector<known_gateway>& gateways)
{
    for (const known_gateway& gateway : gateways)
    {
        // The store may list gateways for good that ended long ago.
        gateway_times& times =
            this->known.try_emplace(gateway.name, gateway_times{now, now}).first->second;
        times.last_named = now;
        if (gateway.is_alive)
            times.last_alive = now;
    }
    std::erase_if(this->known, [now](const auto& item)
                  { return now - item.second.last_named > known_time; });
    const auto has_part = [now](const auto& item)
    { return now - item.second.last_alive <= known_time; };
    this->counted = static_cast<std::size_t>(
        std::count_if(this->known.begin(), this->known.end(), has_part));
}

void team_allowances::set_others(state::time_point now, team_usage_report report)
{
    this->advance(now);
    this->others = std::move(report);
    this->others_received = now;
    this->covered = 1 + this->others.gateways;
    for (auto& [name, team] : this->teams)
        current(team).covered = this->covered;
    this->plan_all();
}

void team_allowances::plan_all()
{
    for (auto& [name, team] : this->teams)
    {
        const auto found = this->others.teams.find(name);
        this->plan(team,
                   found == this->others.teams.end() ? team_rates{} : found->second);
    }
}

void team_allowances::advance(state::time_point now)
{
    const auto elapsed = now - this->updated;
    if (elapsed <= state::time_point::duration::zero())
        return;
    const bool was_running = elapsed <= max_elapsed;
    const bool is_late = now - this->others_received > max_report_age;
    if (is_late)
    {
        this->others = {};
        this->covered = 1;
    }
    std::size_t passed = slot_count;
    if (now - this->slot_begin < slot_length * static_cast<int>(slot_count))
        passed = static_cast<std::size_t>((now - this->slot_begin) / slot_length);
    this->slot_begin = passed == slot_count
                           ? now
                           : this->slot_begin + slot_length * static_cast<int>(passed);
    for (auto& [name, team] : this->teams)
    {
        this->refill(now, team);
        for (std::size_t step = 0; step < passed; ++step)
        {
            team.position = (team.position + 1) % slot_count;
            current(team) = {};
            current(team).covered = was_running ? this->covered : 0;
        }
        current(team).covered = this->covered;
        const auto found = this->others.teams.find(name);
        if (found != this->others.teams.end())
            current(team).others += found->second.admitted_per_s * seconds_of(elapsed);
        if (is_late)
            this->plan(team, {});
    }
    this->updated = now;
}

void team_allowances::refill(state::time_point now, team_state& team) const
{
    const double elapsed_s = seconds_of(
        std::min<state::time_point::duration>(now - this->updated, max_elapsed));
    const double added = team.refill_per_s * elapsed_s;
    team.level = std::min(team.level + added, std::max(team.capacity, team.level));
    team.promised = std::max(team.promised - added, 0.0);
}

const team_allowances::slot& team_allowances::past(const team_state& team,
                                                   std::size_t age)
{
    return team.slots[(team.position + slot_count - age) % slot_count];
}

/// Average over `count` slots, of which the newest is `first_age` old. The slot in
/// progress is added to them.
double team_allowances::recent_per_s(const team_state& team, double slot::*value,
                                     std::size_t first_age, std::size_t count)
{
    double sum = first_age == 0 ? past(team, count).*value : 0.0;
    for (std::size_t age = first_age; age < first_age + count; ++age)
        sum += past(team, age).*value;
    return sum / (static_cast<double>(count) * slot_s);
}

/// Estimates what was used in the window by the gateways that are covered now. Those that
/// were not covered then are assumed to have used their part.
double team_allowances::used(const team_state& team) const
{
    const double per_gateway =
        team.allowance.per_s * slot_s /
        static_cast<double>(std::max(this->known_gateways(), this->covered));
    double sum = 0.0;
    for (const slot& item : team.slots)
    {
        sum += item.own;
        if (item.covered > 1)
        {
            const double share = static_cast<double>(this->covered - 1) /
                                 static_cast<double>(item.covered - 1);
            sum += item.others * std::min(share, 1.0);
        }
        if (item.covered < this->covered)
            sum += per_gateway * static_cast<double>(this->covered - item.covered);
    }
    return sum;
}

void team_allowances::plan(team_state& team, const team_rates& rates) const
{
    const auto gateways =
        static_cast<double>(std::max(this->known_gateways(), this->covered));
    const auto reporting = static_cast<double>(this->covered);
    const bool is_unknown = !this->is_list_read && this->covered == 1;
    const double part = is_unknown ? 0.0 : reporting / gateways;
    const double limit_per_s = team.allowance.per_s * part;
    const double limit = window_limit(team.allowance) * part;
    team.room = limit - this->used(team);

    const double own_now = recent_per_s(team, &slot::asked, 0, rate_slots);
    const double own_reported =
        recent_per_s(team, &slot::asked, reported_slots, share_slots);
    const double demand = rates.asked_per_s + std::max(own_now, own_reported);
    const bool is_alone = this->covered == 1 && gateways > 1.0;
    const bool is_over = is_alone || demand > ample_demand_ratio * limit_per_s ||
                         team.room < ample_room_share * limit;

    // Others know the own demand only as it was reported, and take their parts by that.
    const double known_demand = rates.asked_per_s + own_reported;
    const double even = is_over ? even_share_over_limit : even_share;
    const double by_demand =
        known_demand > 0.0 ? own_reported / known_demand : 1.0 / reporting;
    const double share = even / reporting + (1.0 - even) * by_demand;

    const double unreported = std::max(team.room, 0.0) * unreported_share;
    team.refill_per_s = 0.0;
    if (team.room > 0.0)
    {
        team.refill_per_s =
            share * (limit_per_s + (is_over ? 0.0 : unreported / report_delay_s));
    }
    // What a request used beyond the level is in the sums.
    if (is_over && !team.is_over)
        team.level = std::max(team.level, 0.0);
    team.is_over = is_over;
    team.capacity = share * unreported;
    if (team.room > 0.0)
        team.capacity = std::max(team.capacity, team.usual_cost);
    team.level = std::min(team.level, team.capacity);
}

double team_allowances::cost(const state::team_allowance& allowance, bool has_token_count,
                             std::uint64_t tokens)
{
    if (allowance.unit == state::allowance_unit::requests)
        return 1.0;
    return has_token_count ? static_cast<double>(tokens) : allowance.raw_tokens;
}

allowance_decision team_allowances::admit(state::time_point now, std::string_view name,
                                          double cost, double draw)
{
    const auto found = this->teams.find(name);
    if (found == this->teams.end())
        return {};
    this->advance(now);
    team_state& team = found->second;
    current(team).asked += cost;
    team.usual_cost = std::max(cost, team.usual_cost * cost_decay);
    if (!team.threshold)
        team.threshold = draw;
    // A small team's part at each of many gateways is smaller than a request. While it is
    // within its allowance, requests may therefore exceed the level.
    const double needed = team.is_over ? *team.threshold * cost : -team.usual_cost;
    const bool is_admitted = team.level >= needed && (team.level > 0.0 || !team.is_over);
    if (!is_admitted)
    {
        const milliseconds after = this->time_until_room(team, cost);
        team.promised =
            std::min(team.promised + cost, team.refill_per_s * max_promised_s);
        return {false, after};
    }
    team.level -= cost;
    // A random threshold keeps the sum over many gateways close to the sum of their
    // parts, also if each part is smaller than one request.
    team.threshold = draw;
    current(team).own += cost;
    return {};
}

void team_allowances::refund(state::time_point admitted_at, std::string_view name,
                             double cost)
{
    const auto found = this->teams.find(name);
    if (found == this->teams.end())
        return;
    team_state& team = found->second;
    // The use is taken from the time at which it was counted, so that no later window has
    // more room than it should.
    std::size_t age = 0;
    if (admitted_at < this->slot_begin)
        age =
            1 + static_cast<std::size_t>((this->slot_begin - admitted_at) / slot_length);
    if (age >= slot_count)
        return;
    slot& item = team.slots[(team.position + slot_count - age) % slot_count];
    item.own = std::max(item.own - cost, 0.0);
    team.level = std::min(team.level + cost, std::max(team.capacity, team.level));
}

milliseconds team_allowances::time_until_room(const team_state& team, double cost) const
{
    double wait_s = 0.0;
    double refill_per_s = team.refill_per_s;
    if (refill_per_s <= 0.0)
    {
        // Room comes when the oldest use leaves the window.
        double missing = -team.room;
        for (std::size_t age = slot_count - 1; age > 0 && missing >= 0.0; --age)
        {
            missing -= past(team, age).own + past(team, age).others;
            wait_s += slot_s;
        }
        refill_per_s = team.allowance.per_s / static_cast<double>(this->known_gateways());
    }
    const double needed =
        std::max(*team.threshold * cost - team.level, 0.0) + team.promised;
    wait_s += needed / refill_per_s;
    const double longest_s = std::chrono::duration<double>(max_retry_after).count();
    const milliseconds wait(
        static_cast<std::int64_t>(std::ceil(std::min(wait_s, longest_s) * 1000.0)));
    return std::max(wait, min_retry_after);
}

team_usage_report team_allowances::own_usage() const
{
    team_usage_report report;
    report.gateways = 1;
    for (const auto& [name, team] : this->teams)
    {
        const team_rates rates{recent_per_s(team, &slot::asked, 0, rate_slots),
                               recent_per_s(team, &slot::own, 0, rate_slots)};
        if (rates.asked_per_s > 0.0)
            report.teams.emplace(name, rates);
    }
    return report;
}

allowance_view team_allowances::view(std::string_view name) const
{
    allowance_view result;
    const auto found = this->teams.find(name);
    if (found == this->teams.end())
        return result;
    const team_state& team = found->second;
    result.limit_per_s = team.allowance.per_s;
    result.room = team.room;
    const auto reported = this->others.teams.find(name);
    if (reported != this->others.teams.end())
    {
        result.asked_per_s = reported->second.asked_per_s;
        result.admitted_per_s = reported->second.admitted_per_s;
    }
    result.asked_per_s += recent_per_s(team, &slot::asked, 0, rate_slots);
    result.admitted_per_s += recent_per_s(team, &slot::own, 0, rate_slots);
    return result;
}

} // namespace pomelorouter::coordination
