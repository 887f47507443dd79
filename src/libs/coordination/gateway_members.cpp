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
    // Incarnations come from the wall clock. A gateway that was started again after its
    // clock was set back counts as new once the old process is silent.
    const bool is_silent = !this->is_heard(item, now);
    const bool is_other = origin.incarnation != item.member.incarnation;
    if (item.was_heard && after <= before && !(is_silent && is_other))
        return false;
    item = {origin, heartbeat.counter, true, now, heartbeat.period};
    return true;
}

void gateway_members::on_known(state::time_point now,
                               const protocol::gateway_member& member)
{
    if (member.node == this->node)
        return;
    entry& item = this->entries[member.node];
    if (item.was_heard && item.member.incarnation >= member.incarnation)
        return;
    item = {member, 0, false, now, state::milliseconds(0)};
}

std::vector<std::string> gateway_members::tick(state::time_point now)
{
    std::vector<std::string> forgotten;
    for (auto item = this->entries.begin(); item != this->entries.end();)
    {
        if (now - item->second.last_heard <= this->timing.forget)
        {
            ++item;
            continue;
        }
        forgotten.push_back(item->first);
        item = this->entries.erase(item);
    }
    return forgotten;
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
        if (this->is_heard(item, now))
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
    return found != this->entries.end() && this->is_heard(found->second, now);
}

bool gateway_members::is_heard(const entry& item, state::time_point now) const
{
    const state::milliseconds silence =
        std::max(this->timing.silence, this->timing.missed_heartbeats * item.period);
    return item.was_heard && now - item.last_heard <= silence;
}

} // namespace pomelorouter::coordination
