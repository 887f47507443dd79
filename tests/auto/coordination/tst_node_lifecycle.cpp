#include "coordination/node_lifecycle.hpp"

#include <doctest/doctest.h>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::node_lifecycle;
using coordination::node_phase;
using state::milliseconds;

constexpr coordination::drain_times times{milliseconds(10000), milliseconds(60000)};
const state::time_point start{};

} // namespace

// Guards against a node that closes its listener while callers may still use its address,
// and against one that stops while a long stream is in flight.
TEST_CASE("a planned stop goes through withdrawing, draining and stopped in this order")
{
    node_lifecycle lifecycle;
    CHECK(lifecycle.phase() == node_phase::starting);
    lifecycle.on_tick(start, 0);
    lifecycle.on_ready();
    CHECK(lifecycle.phase() == node_phase::serving);
    lifecycle.on_tick(start, 0);
    CHECK(lifecycle.phase() == node_phase::serving);
    lifecycle.on_stop_requested(start, times);
    lifecycle.on_tick(start + milliseconds(9999), 0);
    CHECK(lifecycle.phase() == node_phase::withdrawing);
    lifecycle.on_tick(start + milliseconds(10000), 1);
    CHECK(lifecycle.phase() == node_phase::draining);
    lifecycle.on_tick(start + milliseconds(59999), 1);
    CHECK(lifecycle.phase() == node_phase::draining);
    lifecycle.on_tick(start + milliseconds(59999), 0);
    CHECK(lifecycle.phase() == node_phase::stopped);
    CHECK_FALSE(lifecycle.was_cut_short());
}

// Guards against a stop that never ends.
TEST_CASE("a second stop request or the time limit stops the node at once")
{
    for (const bool is_draining : {false, true})
    {
        for (const bool by_limit : {false, true})
        {
            node_lifecycle lifecycle;
            lifecycle.on_ready();
            lifecycle.on_stop_requested(start, times);
            if (is_draining)
                lifecycle.on_tick(start + milliseconds(10000), 3);
            if (by_limit)
                lifecycle.on_tick(start + milliseconds(60000), 3);
            else
                lifecycle.on_stop_requested(start + milliseconds(11000), times);
            CHECK(lifecycle.phase() == node_phase::stopped);
            CHECK(lifecycle.was_cut_short());
            lifecycle.on_ready();
            CHECK(lifecycle.phase() == node_phase::stopped);
        }
    }
}

// Guards against a node that cannot be stopped before it is ready.
TEST_CASE("a stop request is accepted before the node is ready")
{
    node_lifecycle lifecycle;
    lifecycle.on_stop_requested(start, times);
    CHECK(lifecycle.phase() == node_phase::withdrawing);
}
