#pragma once

#include "state/clock.hpp"

#include <cstddef>

namespace pomelorouter::transport
{

/// How far a request has been received.
struct receive_progress
{
    state::time_point began{};
    state::time_point last_received{};
    std::size_t received = 0;
    /// Expected size; 0 if it is not known.
    std::size_t expected = 0;
    /// Time in which the whole is expected.
    state::milliseconds time_limit{0};

    void start(state::time_point now, std::size_t expected_bytes,
               state::milliseconds limit);
    void on_received(state::time_point now, std::size_t bytes);
    /// Continues after a time in which the server did not read.
    void resume(state::time_point now);
};

/// A sender that is later than this may lose its connection if another request needs the
/// memory.
inline constexpr state::milliseconds max_standstill{300};

/// Time by which a sender is late: the longer of the pause since its last bytes and of
/// what it lacks to the pace that completes the request within the time limit.
state::milliseconds standstill(const receive_progress& progress, state::time_point now);

} // namespace pomelorouter::transport
