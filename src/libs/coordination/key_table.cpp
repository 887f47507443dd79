#include "coordination/key_table.hpp"

#include <utility>

namespace pomelorouter::coordination
{

key_table::key_table(const key_table_limits& table_limits) : limits(table_limits) {}

const key_entry* key_table::find(std::string_view key) const
{
    const auto found = this->entries.find(key);
    return found == this->entries.end() ? nullptr : &found->second;
}

bool key_table::add(const std::string& key, const std::string& request,
                    local_key_state state, state::time_point expiry)
{
    if (this->entries.size() >= this->limits.max_keys)
        return false;
    key_entry entry;
    entry.state = state;
    entry.request = request;
    entry.expiry = expiry;
    const bool added = this->entries.emplace(key, std::move(entry)).second;
    if (added)
        this->by_expiry.emplace(expiry, key);
    return added;
}

void key_table::set_running(std::string_view key)
{
    const auto found = this->entries.find(key);
    if (found != this->entries.end())
        found->second.state = local_key_state::running;
}

void key_table::finish(const std::string& key, kept_answer answer)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end())
        return;
    found->second.state = local_key_state::finished;
    found->second.answer = std::move(answer);
    found->second.body_kept = true;
    this->kept_bytes += found->second.answer.body.size();
    this->answered_keys.push_back(key);
    this->drop_oldest_bodies();
}

void key_table::set_lost(std::string_view key)
{
    const auto found = this->entries.find(key);
    if (found != this->entries.end())
        found->second.state = local_key_state::lost;
}

void key_table::remove(std::string_view key)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end())
        return;
    const auto [begin, end] = this->by_expiry.equal_range(found->second.expiry);
    for (auto item = begin; item != end; ++item)
    {
        if (item->second == key)
        {
            this->by_expiry.erase(item);
            break;
        }
    }
    this->drop_body(found->second);
    this->entries.erase(found);
}

void key_table::prune(state::time_point now)
{
    while (!this->by_expiry.empty() && this->by_expiry.begin()->first <= now)
    {
        const auto found = this->entries.find(this->by_expiry.begin()->second);
        if (found != this->entries.end())
        {
            const bool ended = found->second.state == local_key_state::finished ||
                               found->second.state == local_key_state::lost;
            // The key of a running request is kept. It is the oldest one, so the removal
            // of later keys is deferred until the request has ended.
            if (!ended)
                return;
            this->drop_body(found->second);
            this->entries.erase(found);
        }
        this->by_expiry.erase(this->by_expiry.begin());
    }
}

void key_table::drop_body(key_entry& entry)
{
    if (!entry.body_kept)
        return;
    this->kept_bytes -= entry.answer.body.size();
    entry.answer = {};
    entry.body_kept = false;
}

void key_table::drop_oldest_bodies()
{
    while (this->kept_bytes > this->limits.max_answer_bytes &&
           !this->answered_keys.empty())
    {
        const auto found = this->entries.find(this->answered_keys.front());
        if (found != this->entries.end())
            this->drop_body(found->second);
        this->answered_keys.pop_front();
    }
}

} // namespace pomelorouter::coordination
