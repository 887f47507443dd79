#include "coordination/member_news.hpp"

#include <algorithm>

namespace pomelorouter::coordination
{

namespace
{

/// Heartbeats that say what has changed. Datagrams are lost now and then.
constexpr int tellings_of_a_change = 3;
/// Changes in one heartbeat at most; a lost availability zone takes a few heartbeats.
constexpr std::size_t most_changes = 40;

bool is_same(const protocol::member_notice& left, const protocol::member_notice& right)
{
    return left.is_alive == right.is_alive && left.member.ready == right.member.ready &&
           left.member.incarnation == right.member.incarnation &&
           left.member.datagrams == right.member.datagrams;
}

} // namespace

void member_news::update(const std::vector<protocol::member_notice>& current)
{
    std::map<std::string, entry> updated;
    for (const protocol::member_notice& notice : current)
    {
        entry& item = updated[notice.member.node];
        item = {notice, tellings_of_a_change};
        const auto before = this->entries.find(notice.member.node);
        if (before != this->entries.end() && is_same(before->second.notice, notice))
            item.tellings = before->second.tellings;
    }
    this->entries = std::move(updated);
}

std::vector<protocol::member_notice> member_news::next(state::milliseconds period)
{
    std::vector<protocol::member_notice> result;
    for (auto& [node, item] : this->entries)
    {
        if (item.tellings == 0 || result.size() == most_changes)
            continue;
        --item.tellings;
        result.push_back(item.notice);
    }
    const auto rounds = std::max<std::int64_t>(member_round / period, 1);
    const std::size_t repeated =
        (this->entries.size() + static_cast<std::size_t>(rounds) - 1) /
        static_cast<std::size_t>(rounds);
    for (std::size_t count = 0; count < repeated; ++count)
    {
        auto item = this->entries.upper_bound(this->last_told);
        if (item == this->entries.end())
            item = this->entries.begin();
        this->last_told = item->first;
        result.push_back(item->second.notice);
    }
    return result;
}

} // namespace pomelorouter::coordination
