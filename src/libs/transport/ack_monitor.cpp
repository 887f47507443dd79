#include "transport/ack_monitor.hpp"

#include <algorithm>

namespace pomelorouter::transport
{

ack_monitor::ack_monitor(state::milliseconds silence_limit) : limit(silence_limit) {}

peer_state ack_monitor::on_sample(state::time_point now, const tcp_send_state& sample)
{
    if (!sample.has_segments_in_flight && !sample.is_probing)
    {
        this->reset();
        return peer_state::up_to_date;
    }
    if (!this->awaited_since)
        this->awaited_since = now;
    if (sample.queued_bytes)
    {
        if (this->queued_bytes != sample.queued_bytes)
            this->queued_since = now;
        this->queued_bytes = sample.queued_bytes;
        return now - this->queued_since >= this->limit ? peer_state::silent
                                                       : peer_state::awaited;
    }
    this->queued_bytes.reset();
    const state::time_point last_ack = now - sample.since_ack;
    // The kernel sends probes at growing intervals, so the age of the last
    // acknowledgement alone does not show that a peer with a closed window is silent.
    if (sample.is_probing && !sample.has_unanswered_retry)
        return peer_state::responding;
    const state::time_point silent_since = std::max(*this->awaited_since, last_ack);
    if (sample.has_unanswered_retry && now - silent_since >= this->limit)
        return peer_state::silent;
    return last_ack > *this->awaited_since ? peer_state::responding : peer_state::awaited;
}

} // namespace pomelorouter::transport
