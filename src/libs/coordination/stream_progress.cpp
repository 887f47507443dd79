#include "coordination/stream_progress.hpp"

#include <algorithm>

namespace pomelorouter::coordination
{

namespace
{

/// Weight of the newest event in the pace.
constexpr double event_weight = 0.125;
/// Streams with fewer events show their pace too roughly.
constexpr std::uint64_t min_events = 4;
/// Share of the time left that a stream may need at its pace. The rest covers the delay
/// until all gateways know that it is behind.
constexpr double usable_time_share = 0.8;

double elapsed_ms(state::time_point from, state::time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

} // namespace

void stream_progress::on_events(state::time_point now, std::uint64_t count)
{
    if (count <= this->events)
        return;
    if (this->last_event != state::time_point())
    {
        const double added = static_cast<double>(count - this->events);
        const double sample = elapsed_ms(this->last_event, now) / added;
        const double weight =
            this->ms_per_event > 0.0 ? std::min(1.0, event_weight * added) : 1.0;
        this->ms_per_event += (sample - this->ms_per_event) * weight;
    }
    this->events = count;
    this->last_event = now;
}

bool stream_progress::is_behind(state::time_point now) const
{
    if (this->deadline == state::time_point() || this->events < min_events)
        return false;
    // Lengths are spread widely, so a stream is expected to become twice as long as it
    // is. Assuming the maximum would hold back requests for streams that end early.
    const std::uint64_t expected = std::min(
        this->most_events - std::min(this->events, this->most_events), this->events);
    const double pace_ms =
        std::max(this->ms_per_event, elapsed_ms(this->last_event, now));
    return static_cast<double>(expected) * pace_ms >
           elapsed_ms(now, this->deadline) * usable_time_share;
}

} // namespace pomelorouter::coordination
