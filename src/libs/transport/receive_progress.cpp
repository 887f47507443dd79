#include "transport/receive_progress.hpp"

#include <algorithm>

namespace pomelorouter::transport
{

using state::milliseconds;

void receive_progress::start(state::time_point now, std::size_t expected_bytes,
                             milliseconds limit)
{
    this->began = now;
    this->last_received = now;
    this->received = 0;
    this->expected = expected_bytes;
    this->time_limit = limit;
}

void receive_progress::on_received(state::time_point now, std::size_t bytes)
{
    if (bytes > 0)
        this->last_received = now;
    this->received += bytes;
}

void receive_progress::resume(state::time_point now)
{
    this->last_received = now;
}

milliseconds standstill(const receive_progress& progress, state::time_point now)
{
    const auto pause =
        std::chrono::duration_cast<milliseconds>(now - progress.last_received);
    if (progress.expected == 0)
        return pause;
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now - progress.began);
    const double share = std::min(1.0, static_cast<double>(progress.received) /
                                           static_cast<double>(progress.expected));
    const milliseconds due(static_cast<std::int64_t>(
        share * static_cast<double>(progress.time_limit.count())));
    return std::max(pause, elapsed - due);
}

} // namespace pomelorouter::transport
