#pragma once

#include "state/clock.hpp"

#include <cstdint>

namespace pomelorouter::coordination
{

/// Follows one stream and tells whether it can end before its deadline at its pace.
class stream_progress
{
public:
    stream_progress() = default;
    stream_progress(state::time_point stream_deadline, std::uint64_t most)
        : deadline(stream_deadline), most_events(most)
    {
    }

    /// Records that the stream has `events` events by now.
    void on_events(state::time_point now, std::uint64_t events);
    /// Whether the stream is expected to be cut at its deadline.
    bool is_behind(state::time_point now) const;

private:
    state::time_point deadline{};
    state::time_point last_event{};
    std::uint64_t events = 0;
    std::uint64_t most_events = 0;
    /// Moving average of the time per event.
    double ms_per_event = 0.0;
};

} // namespace pomelorouter::coordination
