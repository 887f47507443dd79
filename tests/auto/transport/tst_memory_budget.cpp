#include "transport/memory_budget.hpp"
#include "transport/receive_progress.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using state::milliseconds;
using transport::memory_budget;
using transport::memory_reservation;
using transport::memory_use;

constexpr std::size_t process_bytes = 1600;

} // namespace

TEST_CASE("a use takes memory while it and its group have room")
{
    // Guards against large bodies that leave nothing to ordinary requests, callers that
    // take the part of control traffic, and sums beyond the budget.
    struct step
    {
        memory_use use;
        std::size_t bytes;
        bool is_taken;
    };
    const std::vector<std::vector<step>> rows{
        {{memory_use::requests, 900, true}, {memory_use::connections, 1, false}},
        {{memory_use::large_bodies, 560, true},
         {memory_use::large_bodies, 1, false},
         {memory_use::responses, 112, true},
         {memory_use::responses, 1, false},
         {memory_use::requests, 228, true},
         {memory_use::requests, 1, false}},
        {{memory_use::large_bodies, 561, false}, {memory_use::large_bodies, 560, true}},
        {{memory_use::requests, 800, true}, {memory_use::large_bodies, 101, false}},
        {{memory_use::requests, 900, true},
         {memory_use::probes, 100, true},
         {memory_use::probes, 1, false},
         {memory_use::control, 100, true},
         {memory_use::control, 1, false}},
        {{memory_use::requests, static_cast<std::size_t>(-1), false}},
        {{memory_use::requests, 10, true},
         {memory_use::requests, static_cast<std::size_t>(-1), false}},
    };
    for (const auto& steps : rows)
    {
        memory_budget budget(process_bytes);
        for (const step& item : steps)
        {
            CAPTURE(to_string(item.use));
            CAPTURE(item.bytes);
            CHECK(budget.try_take(item.use, item.bytes) == item.is_taken);
        }
    }
}

TEST_CASE("what a use misses is what it or its group lacks")
{
    // Guards against senders that give way for memory which is free.
    struct row
    {
        std::size_t held_requests;
        std::size_t held_bodies;
        memory_use use;
        std::size_t bytes;
        std::size_t missing;
    };
    constexpr auto most = static_cast<std::size_t>(-1);
    const std::vector<row> rows{
        {0, 0, memory_use::large_bodies, 560, 0},
        {0, 0, memory_use::large_bodies, 561, 1},
        {0, 500, memory_use::large_bodies, 200, 140},
        {800, 0, memory_use::large_bodies, 200, 100},
        {400, 500, memory_use::requests, 30, 30},
        {400, 500, memory_use::probes, 100, 0},
        {400, 500, memory_use::probes, 130, 30},
        {400, 500, memory_use::requests, most, most},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.held_requests);
        CAPTURE(item.held_bodies);
        CAPTURE(item.bytes);
        memory_budget budget(process_bytes);
        REQUIRE(budget.try_take(memory_use::requests, item.held_requests));
        REQUIRE(budget.try_take(memory_use::large_bodies, item.held_bodies));
        CHECK(budget.missing(item.use, item.bytes) == item.missing);
    }
}

TEST_CASE("a reservation gives its memory back on every path")
{
    // Guards against memory that stays reserved after the end of a request, until no
    // request gets any.
    const auto budget = std::make_shared<memory_budget>(process_bytes);
    {
        memory_reservation first(budget, memory_use::requests);
        CHECK(first.resize(300));
        CHECK(first.resize(200));
        CHECK(budget->held(memory_use::requests) == 200);
        CHECK_FALSE(first.resize(901));
        CHECK(first.bytes() == 200);
        memory_reservation second(std::move(first));
        CHECK(second.bytes() == 200);
        memory_reservation third(budget, memory_use::large_bodies);
        CHECK(third.resize(100));
        third = std::move(second);
        CHECK(budget->held(memory_use::large_bodies) == 0);
        CHECK(budget->held(memory_use::requests) == 200);
    }
    CHECK(budget->held(memory_use::requests) == 0);
    memory_reservation unlimited;
    CHECK(unlimited.resize(process_bytes * 1000));
}

TEST_CASE("a sender is late by its pause or by its pace")
{
    // Guards against honest senders that lose their connection, and against slow senders
    // that keep memory because a few bytes arrive now and then.
    struct row
    {
        std::size_t expected;
        std::size_t received;
        int elapsed_ms;
        int pause_ms;
        int late_ms;
    };
    const std::vector<row> rows{
        {1000, 0, 0, 0, 0},
        {1000, 500, 2000, 0, 0},
        {1000, 999, 5000, 4000, 4000},
        {1000, 100, 2000, 0, 1000},
        {1000, 2000, 9000, 0, 0},
        {0, 500, 3000, 100, 100},
    };
    const state::time_point begin{};
    for (const row& item : rows)
    {
        CAPTURE(item.received);
        CAPTURE(item.elapsed_ms);
        transport::receive_progress progress;
        progress.start(begin, item.expected, milliseconds(10000));
        const state::time_point end = begin + milliseconds(item.elapsed_ms);
        progress.on_received(end - milliseconds(item.pause_ms), item.received);
        progress.on_received(end, 0);
        CHECK(std::max(milliseconds(0), standstill(progress, end)) ==
              milliseconds(item.late_ms));
    }
}
