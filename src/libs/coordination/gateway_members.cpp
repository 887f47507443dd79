#include "coordination/gateway_members.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pomelorouter::coordination
{

gateway_members::gateway_members(std::string own_node, const member_timing& times)
    : node(std::move(own_node)), timing(times)
{
}

bool gateway_members::on_heartbeat(state::time_point now,
                                   const protocol::gateway_heartbeat& heartbeat)
{
    const protocol::gateway_member& origin = heartbeat.origin;
    if (origin.node == this->node)
        return false;
    entry& item = this->entries[origin.node];
    const auto before = std::make_tuple(item.member.incarnation, item.counter);
    const auto after = std::make_tuple(origin.incarnation, heartbeat.counter);
    // Incarnations come from the wall clock. If the clock was set back before a restart,
    // the new process has a lower incarnation; it is accepted once the old one is not
    // heard.
    const bool is_unheard = !this->is_heard(item, now);
    const bool is_other_process = origin.incarnation != item.member.incarnation;
    if (item.was_heard && after <= before && !(is_unheard && is_other_process))
        return false;
    item = {origin,
            heartbeat.counter,
            true,
            now,
            heartbeat.period,
            heartbeat.is_aggregator,
            item.notice_valid_until};
    this->zone_last_heard[origin.zone] = now;
    return true;
}

void gateway_members::add_known(state::time_point now,
                                const protocol::gateway_member& member)
{
    if (member.node == this->node)
        return;
    entry& item = this->entries[member.node];
    const bool has_better_source = item.was_heard || now < item.notice_valid_until;
    if (has_better_source && item.member.incarnation >= member.incarnation)
        return;
    item = {
        member, 0, false, now, state::milliseconds(0), false, item.notice_valid_until};
}

void gateway_members::on_notice(state::time_point now,
                                const protocol::member_notice& notice)
{
    const protocol::gateway_member& member = notice.member;
    if (member.node == this->node)
        return;
    const auto found = this->entries.find(member.node);
    if (found == this->entries.end() && !notice.is_alive)
        return;
    entry& item = this->entries[member.node];
    // The clock of a restarted gateway may have been set back, so a lower incarnation is
    // accepted once the known process is no longer alive.
    const bool is_older = member.incarnation < item.member.incarnation;
    const bool is_other_process = member.incarnation != item.member.incarnation;
    if (this->is_heard(item, now) || (is_older && this->is_alive(item, now)))
        return;
    if (!notice.is_alive)
    {
        if (!is_other_process)
            item.notice_valid_until = {};
        return;
    }
    if (is_other_process)
    {
        item.counter = 0;
        item.was_heard = false;
    }
    item.member = member;
    item.is_aggregating = false;
    item.notice_valid_until = now + this->timing.notice_lifetime;
}

void gateway_members::require_heartbeat(state::time_point now, std::string_view name)
{
    const auto found = this->entries.find(name);
    if (found == this->entries.end() || this->is_heard(found->second, now))
        return;
    state::time_point& until = found->second.notice_valid_until;
    until = std::min(until, now + this->timing.response_timeout);
}

void gateway_members::begin_aggregation(state::time_point now, std::string_view own_zone)
{
    this->zone_last_heard.clear();
    for (const auto& [name, item] : this->entries)
    {
        if (item.member.zone == own_zone)
            this->require_heartbeat(now, name);
    }
}

void gateway_members::drop_silent_zones(state::time_point now, std::string_view own_zone)
{
    for (auto& [name, item] : this->entries)
    {
        const std::string& zone = item.member.zone;
        if (zone == own_zone || now >= item.notice_valid_until)
            continue;
        const auto heard = this->zone_last_heard.try_emplace(zone, now).first;
        if (now - heard->second > this->timing.zone_timeout)
            item.notice_valid_until = {};
    }
}

std::vector<std::string> gateway_members::tick(state::time_point now)
{
    std::vector<std::string> removed;
    for (auto item = this->entries.begin(); item != this->entries.end();)
    {
        if (now - item->second.last_heard <= this->timing.removal_timeout ||
            this->is_alive(item->second, now))
        {
            ++item;
            continue;
        }
        removed.push_back(item->first);
        item = this->entries.erase(item);
    }
    return removed;
}

std::vector<protocol::gateway_member> gateway_members::ready(state::time_point now) const
{
    std::vector<protocol::gateway_member> result;
    for (protocol::gateway_member& member : this->alive(now))
    {
        if (member.ready)
            result.push_back(std::move(member));
    }
    return result;
}

std::vector<protocol::gateway_member> gateway_members::alive(state::time_point now) const
{
    std::vector<protocol::gateway_member> result;
    for (const auto& [name, item] : this->entries)
    {
        if (this->is_alive(item, now))
            result.push_back(item.member);
    }
    return result;
}

std::vector<protocol::gateway_member> gateway_members::known() const
{
    std::vector<protocol::gateway_member> result;
    for (const auto& [name, item] : this->entries)
        result.push_back(item.member);
    return result;
}

const protocol::gateway_member* gateway_members::find(std::string_view name) const
{
    const auto found = this->entries.find(name);
    return found == this->entries.end() ? nullptr : &found->second.member;
}

bool gateway_members::is_alive(state::time_point now, std::string_view name) const
{
    const auto found = this->entries.find(name);
    return found != this->entries.end() && this->is_alive(found->second, now);
}

bool gateway_members::is_heard(state::time_point now, std::string_view name) const
{
    const auto found = this->entries.find(name);
    return found != this->entries.end() && this->is_heard(found->second, now);
}

bool gateway_members::is_aggregating(state::time_point now, std::string_view name) const
{
    const auto found = this->entries.find(name);
    return found != this->entries.end() && found->second.is_aggregating &&
           this->is_heard(found->second, now);
}

bool gateway_members::is_alive(const entry& item, state::time_point now) const
{
    return this->is_heard(item, now) || now < item.notice_valid_until;
}

bool gateway_members::is_heard(const entry& item, state::time_point now) const
{
    const state::milliseconds timeout = std::max(
        this->timing.heartbeat_timeout, this->timing.missed_heartbeats * item.period);
    return item.was_heard && now - item.last_heard <= timeout;
}

} // namespace pomelorouter::coordination
