#pragma once

#include <boost/circular_buffer.hpp>

#include <cstdint>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace pomelorouter::state
{

/// One key and value of a timeline event.
struct event_field
{
    std::string key;
    std::string value;
};

/// One entry of the timeline of a process.
struct timeline_event
{
    std::int64_t wall_time_us = 0;
    std::uint64_t sequence = 0;
    std::string node;
    std::uint64_t incarnation = 0;
    std::string kind;
    std::vector<event_field> fields;
};

/// Ring buffer of the recent events of a process. Also writes each event to the log. All
/// functions are thread-safe.
class event_log
{
public:
    event_log(std::string node, std::uint64_t incarnation, std::size_t capacity);

    /// Records an event with the current wall-clock time; overwrites the oldest event if
    /// the buffer is full.
    void record(std::string kind, std::vector<event_field> fields);
    /// Returns the events whose sequence number is at least `from`.
    std::vector<timeline_event> since(std::uint64_t from) const;

private:
    std::string node;
    std::uint64_t incarnation;
    mutable std::mutex mutex;
    boost::circular_buffer<timeline_event> events;
    std::uint64_t next_sequence = 0;
};

} // namespace pomelorouter::state
