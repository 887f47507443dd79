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

/// LRU cache of prompt prefix blocks, and its event log. Events become visible after a
/// delay and some are lost.
class prefix_cache
{
public:
    /// Every `event_gap`-th event is lost; 0 loses none. Events become visible
    /// `event_lag` after they occur.
    prefix_cache(std::size_t max_blocks, std::int64_t event_gap,
                 state::milliseconds event_lag);

    /// Number of blocks of a prompt, and how many leading ones are cached.
    struct match
    {
        std::size_t blocks = 0;
        std::size_t cached = 0;
    };

    match find(std::string_view model, std::string_view prompt) const;
    /// Caches all whole blocks of a prompt and evicts the least recently used blocks
    /// beyond the capacity.
    void store(std::string_view model, std::string_view prompt, state::time_point now);
    /// Returns the JSON body of `GET /cache_events?from=`: the visible events with a
    /// sequence number of at least `from`.
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
    std::int64_t lost_event_interval;
    state::milliseconds event_delay;
    std::uint64_t next_sequence = 0;
    /// Most recently used first.
    std::list<block> blocks;
    std::unordered_map<std::uint64_t, std::list<block>::iterator> by_hash;
    std::deque<event> events;
};

} // namespace pomelorouter::tools
