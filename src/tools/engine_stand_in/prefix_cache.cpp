#include "prefix_cache.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pomelorouter::tools
{

namespace
{

constexpr std::size_t block_bytes = 64;
constexpr std::size_t max_events = 4096;

/// Hash of the first `bytes` bytes of a prompt for a model.
std::uint64_t prefix_hash(std::string_view model, std::string_view prompt,
                          std::size_t bytes)
{
    return XXH3_64bits_withSeed(prompt.data(), bytes,
                                XXH3_64bits(model.data(), model.size()));
}

} // namespace

prefix_cache::prefix_cache(std::size_t max_blocks, std::int64_t event_gap,
                           state::milliseconds event_lag)
    : capacity(max_blocks), lost_event_interval(event_gap), event_delay(event_lag)
{
}

prefix_cache::match prefix_cache::find(std::string_view model,
                                       std::string_view prompt) const
{
    match result;
    result.blocks = (prompt.size() + block_bytes - 1) / block_bytes;
    // The cache holds only whole blocks, so that a longer prompt matches them.
    for (std::size_t end = block_bytes; end <= prompt.size(); end += block_bytes)
    {
        if (!this->by_hash.contains(prefix_hash(model, prompt, end)))
            break;
        ++result.cached;
    }
    return result;
}

void prefix_cache::store(std::string_view model, std::string_view prompt,
                         state::time_point now)
{
    for (std::size_t end = block_bytes; end <= prompt.size(); end += block_bytes)
    {
        const std::uint64_t hash = prefix_hash(model, prompt, end);
        const auto found = this->by_hash.find(hash);
        if (found != this->by_hash.end())
        {
            this->blocks.splice(this->blocks.begin(), this->blocks, found->second);
            continue;
        }
        this->blocks.push_front({std::string(model), hash, end});
        this->by_hash[hash] = this->blocks.begin();
        this->publish(this->blocks.front(), true, now);
    }
    while (this->blocks.size() > this->capacity)
    {
        this->publish(this->blocks.back(), false, now);
        this->by_hash.erase(this->blocks.back().hash);
        this->blocks.pop_back();
    }
}

void prefix_cache::publish(const block& item, bool stored, state::time_point now)
{
    const std::uint64_t sequence = this->next_sequence++;
    if (this->lost_event_interval > 0 &&
        (sequence + 1) % static_cast<std::uint64_t>(this->lost_event_interval) == 0)
        return;
    this->events.push_back({sequence, now, stored, item.model, item.hash, item.bytes});
    if (this->events.size() > max_events)
        this->events.pop_front();
}

std::string prefix_cache::events_from(std::uint64_t from, state::time_point now) const
{
    boost::json::array list;
    std::uint64_t next = from;
    for (const event& item : this->events)
    {
        if (item.sequence < from)
            continue;
        if (item.at + this->event_delay > now)
            break;
        next = item.sequence + 1;
        list.push_back(boost::json::object{{"sequence", item.sequence},
                                           {"kind", item.stored ? "stored" : "evicted"},
                                           {"model", item.model},
                                           {"hash", item.hash},
                                           {"bytes", item.bytes}});
    }
    const std::uint64_t first = this->events.empty() ? 0 : this->events.front().sequence;
    return boost::json::serialize(boost::json::object{
        {"first", first}, {"next", next}, {"events", std::move(list)}});
}

} // namespace pomelorouter::tools
