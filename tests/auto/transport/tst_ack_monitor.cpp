#include "transport/ack_monitor.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using state::milliseconds;
using transport::ack_monitor;
using transport::peer_state;
using transport::tcp_send_state;

constexpr milliseconds limit{2000};
constexpr milliseconds period{250};

/// What the kernel reports for a peer at a time since the begin of the test.
using peer_model = tcp_send_state (*)(milliseconds);

tcp_send_state idle_peer(milliseconds at)
{
    return {false, false, false, at};
}

/// Acknowledges nothing; the first segment is sent again after 200 ms.
tcp_send_state unreachable_peer(milliseconds at)
{
    return {true, false, at > milliseconds(200), at + milliseconds(60000)};
}

/// Has a closed window and answers each probe; the intervals of the probes grow.
tcp_send_state not_reading_peer(milliseconds at)
{
    milliseconds last_probe{0};
    for (milliseconds interval{200}; last_probe + interval <= at; interval *= 2)
        last_probe += interval;
    return {false, last_probe.count() > 0, false, at - last_probe};
}

/// Has a closed window and does not answer probes from 3 s on.
tcp_send_state vanishing_peer(milliseconds at)
{
    constexpr milliseconds gone_at{3000};
    if (at < gone_at)
        return not_reading_peer(at);
    return {false, true, true, at - milliseconds(1400)};
}

/// Drops segments for want of buffers, and acknowledges each one that is sent again.
tcp_send_state dropping_peer(milliseconds at)
{
    tcp_send_state result = not_reading_peer(at);
    result.has_segments_in_flight = true;
    result.is_probing = false;
    return result;
}

/// Reads slowly, over a path with a delay: something is always in flight.
tcp_send_state slow_peer(milliseconds at)
{
    return {true, false, false, at % milliseconds(300)};
}

/// Acknowledges nothing, and the kernel tells no times.
tcp_send_state unreachable_peer_without_times(milliseconds)
{
    return {true, false, false, milliseconds(0), 2000};
}

/// Acknowledges a segment each second, and the kernel tells no times.
tcp_send_state slow_peer_without_times(milliseconds at)
{
    return {true, false, false, milliseconds(0),
            100000 - 1400 * static_cast<int>(at / milliseconds(1000))};
}

/// Something is always in flight, and now and then a segment has just been sent.
tcp_send_state streaming_peer(milliseconds at)
{
    tcp_send_state result = slow_peer(at);
    if (at.count() % 1000 < 750)
        result.queued_bytes = 4000;
    return result;
}

} // namespace

// Guards against a sound server that is taken for an unreachable one because it does
// not read, and against an unreachable server that is not detected.
TEST_CASE("only a peer that acknowledges nothing is silent")
{
    struct row
    {
        std::string name;
        peer_model peer;
        peer_state expected;
        /// When the peer is found silent at the latest.
        milliseconds silent_until;
    };
    const std::vector<row> rows{
        {"idle", idle_peer, peer_state::up_to_date, {}},
        {"unreachable", unreachable_peer, peer_state::silent, limit + period},
        {"not reading", not_reading_peer, peer_state::responding, {}},
        {"vanishing", vanishing_peer, peer_state::silent,
         milliseconds(3000) + limit + period},
        {"dropping", dropping_peer, peer_state::responding, {}},
        {"slow", slow_peer, peer_state::responding, {}},
        {"unreachable, without times", unreachable_peer_without_times, peer_state::silent,
         limit + period},
        {"slow, without times", slow_peer_without_times, peer_state::awaited, {}},
        {"streaming", streaming_peer, peer_state::responding, {}},
    };
    for (const row& item : rows)
    {
        for (milliseconds offset{0}; offset < period; offset += milliseconds(10))
        {
            CAPTURE(item.name);
            CAPTURE(offset.count());
            ack_monitor monitor(limit);
            const state::time_point begin{std::chrono::hours(1)};
            milliseconds at = offset;
            peer_state found = peer_state::awaited;
            for (; at < milliseconds(20000) && found != peer_state::silent; at += period)
                found = monitor.on_sample(begin + at, item.peer(at));
            CHECK(static_cast<int>(found) == static_cast<int>(item.expected));
            if (item.expected == peer_state::silent)
                CHECK(at - period <= item.silent_until);
        }
    }
}

// Guards against a kernel timeout that is disabled too late: the kernel would drop
// the connection first.
TEST_CASE("a peer that responds is recognized before the kernel's timeout")
{
    for (const peer_model peer : {not_reading_peer, dropping_peer, slow_peer})
    {
        for (milliseconds offset{0}; offset < period; offset += milliseconds(10))
        {
            CAPTURE(offset.count());
            ack_monitor monitor(limit);
            const state::time_point begin{std::chrono::hours(1)};
            milliseconds at = offset;
            while (at < milliseconds(5000) &&
                   monitor.on_sample(begin + at, peer(at)) != peer_state::responding)
                at += period;
            CHECK(at < limit - period);
        }
    }
}

// Guards against the silence of an earlier request that counts for the next one on
// the same connection.
TEST_CASE("a reset forgets the silence")
{
    ack_monitor monitor(limit);
    const state::time_point begin{std::chrono::hours(1)};
    const tcp_send_state unanswered{true, false, true, milliseconds(60000)};
    CHECK(monitor.on_sample(begin, unanswered) == peer_state::awaited);
    monitor.reset();
    CHECK(monitor.on_sample(begin + limit, unanswered) == peer_state::awaited);
    CHECK(monitor.on_sample(begin + 2 * limit, unanswered) == peer_state::silent);
}
