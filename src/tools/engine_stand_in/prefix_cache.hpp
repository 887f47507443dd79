#pragma once

#include "state/clock.hpp"

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace pomelorouter::tools
{

/// Blocks of prompt prefixes that an engine keeps, least recently used dropped first,
/// and the events about them, which are published late and with gaps.
class prefix_cache
{
public:
    /// Every `gap`-th event is lost; 0 loses none.
    prefix_cache(std::size_t blocks, std::int64_t gap, state::milliseconds lag);

    /// Number of blocks of a prompt, and how many of them from its start are kept.
    struct match
    {
        std::size_t blocks = 0;
        std::size_t kept = 0;
    };

    match find(std::string_view model, std::string_view prompt) const;
    /// Keeps all blocks of a prompt.
    void store(std::string_view model, std::string_view prompt, state::time_point now);
    /// Answer to `GET /cache_events?from=`.
    std::string events_from(std::uint64_t from, state::time_point now) const;

private:
    struct event
    {
        std::uint64_t sequence;
        state::time_point at;
        bool stored;
        std::string model;
        std::uint64_t hash;
        std::size_t bytes;
    };
    struct block
    {
        std::string model;
        std::uint64_t hash;
        std::size_t bytes;
    };

    void publish(const block& item, bool stored, state::time_point now);

    std::size_t capacity;
    std::int64_t gap;
    state::milliseconds lag;
    std::uint64_t next_sequence = 0;
    /// Most recently used first.
    std::list<block> blocks;
    std::unordered_map<std::uint64_t, std::list<block>::iterator> by_hash;
    std::deque<event> events;
};

} // namespace pomelorouter::tools
