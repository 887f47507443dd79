#include "coordination/member_notice_queue.hpp"

#include <algorithm>

namespace pomelorouter::coordination
{

namespace
{

/// Number of heartbeats that include a change, since datagrams may be lost.
constexpr int sends_per_change = 3;
/// Limits the size of a datagram; the loss of an availability zone takes several
/// heartbeats.
constexpr std::size_t max_changes_per_heartbeat = 40;

bool is_same(const protocol::member_notice& left, const protocol::member_notice& right)
{
    return left.is_alive == right.is_alive && left.member.ready == right.member.ready &&
           left.member.incarnation == right.member.incarnation &&
           left.member.datagrams == right.member.datagrams;
}

} // namespace

void member_notice_queue::update(const std::vector<protocol::member_notice>& current)
{
    std::map<std::string, entry> updated;
    for (const protocol::member_notice& notice : current)
    {
        entry& item = updated[notice.member.node];
        item = {notice, sends_per_change};
        const auto before = this->entries.find(notice.member.node);
        if (before != this->entries.end() && is_same(before->second.notice, notice))
            item.sends_left = before->second.sends_left;
    }
    this->entries = std::move(updated);
}

std::vector<protocol::member_notice> member_notice_queue::next(state::milliseconds period)
{
    std::vector<protocol::member_notice> result;
    for (auto& [node, item] : this->entries)
    {
        if (item.sends_left == 0 || result.size() == max_changes_per_heartbeat)
            continue;
        --item.sends_left;
        result.push_back(item.notice);
    }
    const auto heartbeats_per_rotation =
        std::max<std::int64_t>(member_rotation / period, 1);
    const std::size_t repeated =
        (this->entries.size() + static_cast<std::size_t>(heartbeats_per_rotation) - 1) /
        static_cast<std::size_t>(heartbeats_per_rotation);
    for (std::size_t count = 0; count < repeated; ++count)
    {
        auto item = this->entries.upper_bound(this->last_repeated);
        if (item == this->entries.end())
            item = this->entries.begin();
        this->last_repeated = item->first;
        result.push_back(item->second.notice);
    }
    return result;
}

} // namespace pomelorouter::coordination
