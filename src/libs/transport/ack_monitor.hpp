#pragma once

#include "state/clock.hpp"

#include <optional>

namespace pomelorouter::transport
{

/// How a TCP peer reacts to what was sent to it.
enum class peer_state
{
    /// All bytes that the peer has room for are acknowledged.
    up_to_date,
    /// The peer has not reacted yet.
    awaited,
    /// The peer acknowledges segments or probes, although it does not take all bytes.
    responding,
    /// The peer has not acknowledged anything for the limit of the monitor.
    silent,
};

/// Sending half of a TCP connection at one moment.
struct tcp_send_state
{
    /// Segments that were sent are not acknowledged.
    bool has_segments_in_flight = false;
    /// The peer's receive window is closed, and probes ask for its reopening.
    bool is_probing = false;
    /// A probe, or a segment that was sent again after a timeout, is not acknowledged.
    bool has_unanswered_retry = false;
    /// Time since the last acknowledgement.
    state::milliseconds since_ack{0};
    /// Set if the kernel does not tell that time: bytes that are written and not
    /// acknowledged.
    std::optional<int> queued_bytes = std::nullopt;
};

/// Distinguishes a TCP peer that reads slowly or not at all from one that cannot be
/// reached.
class ack_monitor
{
public:
    explicit ack_monitor(state::milliseconds silence_limit);

    peer_state on_sample(state::time_point now, const tcp_send_state& sample);
    void reset()
    {
        this->awaited_since.reset();
        this->queued_bytes.reset();
    }

private:
    state::milliseconds limit;
    /// First sample in a row in which an acknowledgement was awaited.
    std::optional<state::time_point> awaited_since;
    /// Value in the last sample, and the first sample in a row with it.
    std::optional<int> queued_bytes;
    state::time_point queued_since{};
};

} // namespace pomelorouter::transport
