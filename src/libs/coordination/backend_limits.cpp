#include "coordination/backend_limits.hpp"

#include <algorithm>
#include <cmath>

namespace pomelorouter::coordination
{

namespace
{

using state::milliseconds;

/// Changes are reported to the other gateways for this long.
constexpr milliseconds report_time{3000};
/// A report counts only if it is newer than what is known by more than it can have been
/// delayed on its way.
constexpr milliseconds max_report_delay{200};
/// Smaller changes of a limit, as a share of it, are not reported.
constexpr double min_reported_change = 0.1;
/// An unused permit expires after this time, since the issuer counts it as sent.
constexpr milliseconds permit_lifetime{300};
/// The number of permits to request is estimated from those used in this time.
constexpr milliseconds demand_window{250};
constexpr int max_requested_permits = 1000;
/// Delay of the next request after one that got no response.
constexpr milliseconds failure_delay{200};
/// Interval of the requests of all gateways together that are not urgent, as a share of
/// the interval that the limit allows between requests of callers, and its bounds.
constexpr double casual_interval_share = 0.5;
constexpr double min_casual_interval_s = 0.1;
constexpr double max_casual_interval_s = 5.0;
constexpr milliseconds record_lifetime{60000};

milliseconds casual_interval(double per_s, std::size_t gateways)
{
    constexpr double ms_per_s = 1000.0;
    const double interval_s =
        casual_interval_share * static_cast<double>(gateways) / std::max(per_s, 1e-3);
    return milliseconds(static_cast<std::int64_t>(
        std::clamp(interval_s, min_casual_interval_s, max_casual_interval_s) * ms_per_s));
}

} // namespace

const backend_limits::record* backend_limits::find(std::string_view backend) const
{
    const auto found = this->records.find(backend);
    return found == this->records.end() ? nullptr : &found->second;
}

bool backend_limits::is_different(const std::optional<double>& left,
                                  const std::optional<double>& right)
{
    if (left.has_value() != right.has_value())
        return true;
    return left &&
           std::abs(*left - *right) > min_reported_change * std::max(*left, *right);
}

void backend_limits::apply(record& item, state::time_point now,
                           std::optional<double> per_s)
{
    if (per_s && !item.per_s)
        item.begun = now;
    // The turn that this gateway was given belongs to the lower limit.
    if (per_s && item.per_s && *per_s > *item.per_s)
    {
        item.next_request = now;
        item.next_casual_request = now;
    }
    item.per_s = per_s;
    item.changed = now;
}

bool backend_limits::on_response(state::time_point now, const std::string& backend,
                                 std::optional<double> per_s)
{
    if (!per_s && this->find(backend) == nullptr)
        return false;
    record& item = this->records[backend];
    item.named = now;
    if (is_different(item.per_s, per_s))
    {
        apply(item, now, per_s);
        return true;
    }
    item.per_s = per_s;
    return false;
}

std::vector<std::string>
backend_limits::merge(state::time_point now,
                      const std::vector<protocol::backend_limit>& reports)
{
    std::vector<std::string> changed;
    for (const protocol::backend_limit& report : reports)
    {
        const record* const known = this->find(report.backend);
        const state::time_point named = now - report.age;
        const std::optional<double> before =
            known == nullptr ? std::nullopt : known->per_s;
        const bool is_newer = known == nullptr || named > known->named + max_report_delay;
        // The time of an unchanged limit is kept. Otherwise reports that pass between
        // gateways would seem newer each time.
        if (!is_newer || !is_different(before, report.per_s))
            continue;
        record& item = this->records[report.backend];
        item.named = named;
        apply(item, now, report.per_s);
        changed.push_back(report.backend);
    }
    return changed;
}

std::vector<protocol::backend_limit> backend_limits::reports(state::time_point now) const
{
    std::vector<protocol::backend_limit> result;
    for (const auto& [backend, item] : this->records)
    {
        if (now - item.changed >= report_time)
            continue;
        if (result.size() == protocol::max_reported_limits)
            break;
        result.push_back({backend, item.per_s,
                          std::chrono::duration_cast<milliseconds>(now - item.named)});
    }
    return result;
}

std::optional<double> backend_limits::limit(std::string_view backend) const
{
    const record* const item = this->find(backend);
    return item == nullptr ? std::nullopt : item->per_s;
}

std::optional<double> backend_limits::lasting_limit(state::time_point now,
                                                    std::string_view backend,
                                                    milliseconds duration) const
{
    const record* const item = this->find(backend);
    if (item == nullptr || now - item->begun < duration)
        return std::nullopt;
    return item->per_s;
}

bool backend_limits::may_send(state::time_point now, std::string_view backend) const
{
    const record* const item = this->find(backend);
    return item == nullptr || !item->per_s ||
           (item->permits > 0 && now < item->permits_until);
}

state::time_point backend_limits::next_permit(state::time_point now,
                                              std::string_view backend) const
{
    const record* const item = this->find(backend);
    return item == nullptr ? now : std::max(now, item->next_request);
}

void backend_limits::on_sent(state::time_point now, std::string_view backend)
{
    const auto found = this->records.find(backend);
    if (found == this->records.end() || !found->second.per_s)
        return;
    record& item = found->second;
    item.permits = std::max(item.permits - 1, 0);
    item.used.push_back(now);
    while (now - item.used.front() > demand_window)
        item.used.pop_front();
}

void backend_limits::on_wanted(const std::string& backend, bool is_urgent)
{
    record& item = this->records[backend];
    item.is_wanted = true;
    item.is_urgent |= is_urgent;
}

std::vector<protocol::permit_request> backend_limits::take_requests(state::time_point now,
                                                                    std::size_t gateways)
{
    std::vector<protocol::permit_request> result;
    for (auto& [backend, item] : this->records)
    {
        if (!item.per_s || !item.is_wanted || item.is_requested ||
            now < item.next_request ||
            (!item.is_urgent && now < item.next_casual_request))
            continue;
        const auto used = std::count_if(item.used.begin(), item.used.end(),
                                        [now](state::time_point time)
                                        { return now - time <= demand_window; });
        const int count = std::min(static_cast<int>(used) + 1, max_requested_permits);
        result.push_back({backend, *item.per_s, count, item.is_urgent});
        item.next_casual_request = now + casual_interval(*item.per_s, gateways);
        item.is_requested = true;
        item.is_wanted = false;
        item.is_urgent = false;
    }
    return result;
}

void backend_limits::on_grant(state::time_point now, const std::string& backend,
                              const protocol::permit_grant& grant)
{
    record& item = this->records[backend];
    item.is_requested = false;
    item.next_request = now + grant.wait;
    if (grant.count == 0)
        return;
    item.permits = grant.count;
    item.permits_until = now + permit_lifetime;
}

void backend_limits::on_request_failed(state::time_point now, const std::string& backend)
{
    record& item = this->records[backend];
    item.is_requested = false;
    item.next_request = now + failure_delay;
}

void backend_limits::forget_old(state::time_point now,
                                const std::function<bool(std::string_view)>& is_listed)
{
    std::erase_if(this->records,
                  [&](const auto& entry)
                  {
                      const auto& [backend, item] = entry;
                      const bool is_old = now - item.named > record_lifetime;
                      return is_old && !item.is_requested &&
                             (!item.per_s || !is_listed(backend));
                  });
}

} // namespace pomelorouter::coordination
