#include "coordination/prompt_quarantine.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pomelorouter::coordination
{

using protocol::suspect_part;
using state::milliseconds;
using state::seconds;
using state::time_point;

namespace
{

/// Successive crashes that convict a part.
constexpr int min_successive_crashes = 3;
/// Time that answers elsewhere have to clear a part before it is convicted.
constexpr milliseconds min_evidence_age{500};

/// Length of the first quarantine of a part, which doubles with each failed trial, and
/// the longest one.
constexpr seconds first_quarantine{30};
constexpr seconds longest_quarantine{600};
/// Delay between two trials of one part by this gateway.
constexpr seconds trial_interval{5};

/// A crash is forgotten after this time.
constexpr seconds crash_ttl{300};
/// A cleared part is reported for this long, so that all gateways learn of it.
constexpr seconds cleared_part_ttl{5};
/// Begins of answers are remembered for this long, for crashes that are reported late.
constexpr seconds answer_ttl{2};
/// Answers within `answer_ttl` to prompts of ten parts, at 800 of them per second.
constexpr std::size_t max_answers = 16'384;
constexpr std::size_t max_records = 256;
constexpr std::size_t max_crashes_per_record = 16;
constexpr std::size_t max_reports = protocol::max_suspect_parts;

milliseconds age(time_point now, time_point time)
{
    return std::chrono::duration_cast<milliseconds>(now - time);
}

} // namespace

bool part_key::operator<(const part_key& other) const
{
    return std::tie(this->part, this->service) < std::tie(other.part, other.service);
}

seconds quarantine_length(int round)
{
    seconds length = first_quarantine;
    for (int i = 1; i < round && length < longest_quarantine; ++i)
        length *= 2;
    return std::min(length, longest_quarantine);
}

std::string to_string(const quarantined_part& part)
{
    std::string text = "prompt part " + format_part_ids({part.key.part}) +
                       " is quarantined, since backend servers crashed:";
    for (const std::string& process : part.processes)
        text += " " + process;
    return text;
}

/// Orders records by their importance for other gateways.
std::tuple<bool, std::size_t, time_point> prompt_quarantine::strength(const record& item)
{
    return {item.round > 0, item.crashes.size(), item.cleared_at};
}

prompt_quarantine::record* prompt_quarantine::find_or_add(const part_key& key,
                                                          int position)
{
    const auto found = this->records.find(key);
    if (found != this->records.end())
        return &found->second;
    if (this->records.size() >= max_records)
    {
        const auto is_weaker =
            [](const record_map::value_type& left, const record_map::value_type& right)
        { return strength(left.second) < strength(right.second); };
        const auto weakest =
            std::min_element(this->records.begin(), this->records.end(), is_weaker);
        if (weakest->second.crashes.size() > 1 || weakest->second.round > 0)
            return nullptr;
        this->records.erase(weakest);
    }
    record& added = this->records[key];
    added.position = position;
    return &added;
}

/// Returns whether the crash was not known.
bool prompt_quarantine::add_crash(const part_key& key, record& target, part_crash crash)
{
    if (crash.crashed_at <= target.cleared_at || this->is_explained(key, crash.process))
        return false;
    for (part_crash& known : target.crashes)
    {
        if (known.process != crash.process)
            continue;
        known.crashed_at = std::min(known.crashed_at, crash.crashed_at);
        known.sent_at = std::max(known.sent_at, crash.sent_at);
        return false;
    }
    if (target.crashes.size() >= max_crashes_per_record)
        return false;
    const auto is_older = [](const part_crash& left, const part_crash& right)
    { return left.crashed_at < right.crashed_at; };
    target.crashes.insert(
        std::upper_bound(target.crashes.begin(), target.crashes.end(), crash, is_older),
        std::move(crash));
    return true;
}

/// Whether a quarantined part has caused the crash.
bool prompt_quarantine::is_explained(const part_key& key,
                                     const std::string& process) const
{
    return std::any_of(this->records.begin(), this->records.end(),
                       [&](const record_map::value_type& item)
                       {
                           if (item.first == key || !item.second.is_quarantined())
                               return false;
                           const auto& crashes = item.second.crashes;
                           return std::any_of(crashes.begin(), crashes.end(),
                                              [&process](const part_crash& crash)
                                              { return crash.process == process; });
                       });
}

bool prompt_quarantine::on_crash(time_point now, const backend_crash& crash)
{
    bool is_new = false;
    for (const unanswered_call& call : crash.unanswered)
    {
        for (std::size_t i = 0; i < call.parts.size(); ++i)
        {
            const part_key key{crash.service, call.parts[i]};
            const auto answer = this->answers.find(key);
            if (answer != this->answers.end() && answer->second > crash.crashed_at)
                continue;
            record* const target = this->find_or_add(key, static_cast<int>(i));
            if (target == nullptr)
                continue;
            const bool was_trial =
                target->is_quarantined() && call.sent_at > target->until;
            is_new |= this->add_crash(key, *target,
                                      {crash.process, crash.crashed_at, call.sent_at});
            if (!was_trial)
                continue;
            const int round = target->round + 1;
            this->begin_quarantine(key, *target, round, now + quarantine_length(round));
        }
    }
    return is_new;
}

void prompt_quarantine::clear(time_point time, const part_key& key, record& target)
{
    target.cleared_at = std::max(target.cleared_at, time);
    std::erase_if(target.crashes, [&target](const part_crash& crash)
                  { return crash.crashed_at <= target.cleared_at; });
    if (!target.is_quarantined())
        return;
    target.is_released = true;
    this->new_releases.push_back(key);
}

void prompt_quarantine::on_answer(time_point now, const std::string& service,
                                  const std::vector<std::uint64_t>& parts)
{
    this->service_answers[service] = now;
    for (const std::uint64_t part : parts)
    {
        const part_key key{service, part};
        // Without it, only a crash that is reported late may wrongly count against the
        // part, until its next answer begins.
        if (this->answers.size() < max_answers || this->answers.count(key) > 0)
            this->answers[key] = now;
        const auto found = this->records.find(key);
        if (found != this->records.end())
            this->clear(now, key, found->second);
    }
}

void prompt_quarantine::on_sent(time_point now, const std::string& service,
                                const std::vector<std::uint64_t>& parts)
{
    for (const std::uint64_t part : parts)
    {
        const auto found = this->records.find({service, part});
        if (found != this->records.end())
            found->second.tried_at = now;
    }
}

quarantined_part prompt_quarantine::describe(const part_key& key, const record& source)
{
    quarantined_part result{key, source.round, source.until, {}};
    for (const part_crash& crash : source.crashes)
        result.processes.push_back(crash.process);
    return result;
}

std::optional<quarantined_part>
prompt_quarantine::find(time_point now, const std::string& service,
                        const std::vector<std::uint64_t>& parts, bool may_try) const
{
    if (this->records.empty())
        return std::nullopt;
    for (const std::uint64_t part : parts)
    {
        const auto found = this->records.find({service, part});
        if (found == this->records.end() || !found->second.is_quarantined())
            continue;
        const record& item = found->second;
        const bool is_trial =
            may_try && now > item.until && now - item.tried_at > trial_interval;
        if (!is_trial)
            return describe(found->first, item);
    }
    return std::nullopt;
}

void prompt_quarantine::begin_quarantine(const part_key& key, record& target, int round,
                                         time_point until)
{
    target.round = round;
    target.until = until;
    target.is_released = false;
    this->new_quarantines.push_back(describe(key, target));
    // The part explains its crashes, so they no longer count against other parts.
    for (auto& [other_key, other] : this->records)
    {
        if (other_key == key || other_key.service != key.service ||
            other.is_quarantined())
            continue;
        std::erase_if(other.crashes,
                      [this, &other_key = other_key](const part_crash& crash)
                      { return this->is_explained(other_key, crash.process); });
    }
}

prompt_quarantine::suspect_counts prompt_quarantine::count_suspects() const
{
    suspect_counts result;
    for (const auto& [key, item] : this->records)
    {
        if (item.is_quarantined())
            continue;
        for (const part_crash& crash : item.crashes)
            ++result[{key.service, crash.process}];
    }
    return result;
}

prompt_quarantine::evidence
prompt_quarantine::evidence_against(const part_key& key, const record& suspect,
                                    const suspect_counts& suspects)
{
    evidence result;
    time_point last{};
    for (const part_crash& crash : suspect.crashes)
    {
        // Crashes at the same time may have one cause outside of the requests.
        if (crash.sent_at <= last)
            continue;
        last = crash.crashed_at;
        if (result.successive++ == 0)
            result.first = crash.crashed_at;
        if (suspects.at({key.service, crash.process}) == 1)
            ++result.unshared;
    }
    return result;
}

bool prompt_quarantine::is_convicted(time_point now, const part_key& key,
                                     const evidence& found) const
{
    if (found.successive < min_successive_crashes || now - found.first < min_evidence_age)
        return false;
    // If no request is answered at all, the part does not tell the crashing requests from
    // others.
    const auto answer = this->service_answers.find(key.service);
    return answer != this->service_answers.end() && answer->second > found.first;
}

void prompt_quarantine::forget_old(time_point now)
{
    for (auto& [key, item] : this->records)
    {
        if (item.is_quarantined())
            continue;
        std::erase_if(item.crashes, [now](const part_crash& crash)
                      { return now - crash.crashed_at > crash_ttl; });
    }
    std::erase_if(this->records,
                  [now](const record_map::value_type& item)
                  {
                      const record& value = item.second;
                      if (value.round > 0)
                          return now > value.until + quarantine_length(value.round);
                      return value.crashes.empty() &&
                             now - value.cleared_at > cleared_part_ttl;
                  });
    std::erase_if(this->answers,
                  [now](const auto& item) { return now - item.second > answer_ttl; });
}

void prompt_quarantine::tick(time_point now)
{
    this->forget_old(now);
    const suspect_counts suspects = this->count_suspects();
    const part_key* suspect = nullptr;
    std::tuple<int, int, int> strongest;
    for (const auto& [key, item] : this->records)
    {
        if (item.is_quarantined())
            continue;
        const evidence found = evidence_against(key, item, suspects);
        if (!this->is_convicted(now, key, found))
            continue;
        const std::tuple strength(found.unshared, found.successive, item.position);
        if (suspect != nullptr && strength <= strongest)
            continue;
        suspect = &key;
        strongest = strength;
    }
    // One at a time, since it may explain the crashes of which others are suspected.
    if (suspect != nullptr)
    {
        record& item = this->records.at(*suspect);
        const int round = item.round + 1;
        this->begin_quarantine(*suspect, item, round, now + quarantine_length(round));
    }
}

std::vector<suspect_part> prompt_quarantine::reports(time_point now) const
{
    std::vector<const record_map::value_type*> items;
    for (const record_map::value_type& item : this->records)
        items.push_back(&item);
    const auto is_more_important =
        [](const record_map::value_type* left, const record_map::value_type* right)
    { return strength(left->second) > strength(right->second); };
    std::sort(items.begin(), items.end(), is_more_important);
    items.resize(std::min(items.size(), max_reports));
    std::vector<suspect_part> result;
    for (const record_map::value_type* const item : items)
    {
        const auto& [key, source] = *item;
        suspect_part report;
        report.service = key.service;
        report.part = key.part;
        report.position = source.position;
        report.round = source.round;
        report.is_released = source.is_released;
        if (source.round > 0)
            report.remaining = age(source.until, now);
        if (source.cleared_at != time_point())
            report.cleared_ago = age(now, source.cleared_at);
        for (const part_crash& crash : source.crashes)
        {
            report.crashes.push_back({crash.process, age(now, crash.crashed_at),
                                      age(crash.crashed_at, crash.sent_at)});
        }
        result.push_back(std::move(report));
    }
    return result;
}

bool prompt_quarantine::merge(time_point now, const std::vector<suspect_part>& reported)
{
    bool is_new = false;
    for (const suspect_part& report : reported)
    {
        const part_key key{report.service, report.part};
        const bool is_cleared = report.crashes.empty() && report.round == 0;
        if (is_cleared && this->records.find(key) == this->records.end())
            continue;
        record* const target = this->find_or_add(key, report.position);
        if (target != nullptr)
            is_new |= this->merge(now, key, *target, report);
    }
    return is_new;
}

bool prompt_quarantine::merge(time_point now, const part_key& key, record& target,
                              const suspect_part& report)
{
    bool is_new = false;
    for (const protocol::suspected_crash& crash : report.crashes)
    {
        const time_point crashed_at = now - crash.age;
        is_new |= this->add_crash(key, target,
                                  {crash.process, crashed_at, crashed_at - crash.waited});
    }
    const bool begins_quarantine = report.round > target.round;
    if (begins_quarantine)
        this->begin_quarantine(key, target, report.round, now + report.remaining);
    const bool ends_quarantine =
        target.is_quarantined() && report.round == target.round && report.is_released;
    time_point cleared_at = target.cleared_at;
    if (report.cleared_ago)
        cleared_at = std::max(cleared_at, now - *report.cleared_ago);
    const auto answer = this->answers.find(key);
    if (answer != this->answers.end())
        cleared_at = std::max(cleared_at, answer->second);
    const bool is_later_answer =
        target.is_quarantined() &&
        (target.crashes.empty() || cleared_at > target.crashes.back().crashed_at);
    const bool is_cleared = !target.is_quarantined() && cleared_at > target.cleared_at;
    if (ends_quarantine || is_later_answer || is_cleared)
        this->clear(cleared_at, key, target);
    return is_new || begins_quarantine || ends_quarantine || is_later_answer;
}

std::vector<quarantined_part> prompt_quarantine::take_quarantined()
{
    return std::exchange(this->new_quarantines, {});
}

std::vector<part_key> prompt_quarantine::take_released()
{
    return std::exchange(this->new_releases, {});
}

std::size_t prompt_quarantine::quarantined_parts() const
{
    return static_cast<std::size_t>(std::count_if(
        this->records.begin(), this->records.end(),
        [](const record_map::value_type& item) { return item.second.is_quarantined(); }));
}

std::vector<quarantined_part> prompt_quarantine::quarantined() const
{
    std::vector<quarantined_part> result;
    for (const auto& [key, item] : this->records)
    {
        if (item.is_quarantined())
            result.push_back(describe(key, item));
    }
    return result;
}

std::vector<part_key> prompt_quarantine::released() const
{
    std::vector<part_key> result;
    for (const auto& [key, item] : this->records)
    {
        if (item.is_released)
            result.push_back(key);
    }
    return result;
}

} // namespace pomelorouter::coordination
