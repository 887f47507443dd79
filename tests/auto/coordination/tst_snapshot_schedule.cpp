#include "coordination/snapshot_schedule.hpp"

#include <doctest/doctest.h>

#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::snapshot_schedule;
using state::milliseconds;

constexpr std::uint64_t max_records = 10;
const state::time_point start{};

} // namespace

// Guards against records that the log deletes before a snapshot covers them: a node that
// starts afterwards cannot read the settings from the log.
TEST_CASE("a snapshot is due by number of records, by deletion of records and by age")
{
    struct row
    {
        std::uint64_t first;
        std::uint64_t next;
        /// Offset of the newest snapshot; -1 for none.
        std::int64_t snapshot;
        milliseconds waited;
        bool expected;
    };
    const std::vector<row> rows{
        {0, 0, -1, snapshot_schedule::max_age, false},
        {0, 9, -1, milliseconds(0), false},
        {0, 9, -1, snapshot_schedule::max_age, true},
        {0, 10, -1, milliseconds(0), true},
        {0, 16, 6, milliseconds(0), false},
        {0, 17, 6, milliseconds(0), true},
        // The log has begun to delete records and the snapshot is in the older half.
        {1, 9, -1, milliseconds(0), true},
        {2, 12, 6, milliseconds(0), true},
        {2, 12, 7, milliseconds(0), false},
        // After an outage longer than the retention the stream is empty.
        {30, 30, 12, milliseconds(0), true},
        {30, 30, -1, milliseconds(0), true},
        // The snapshot is the last record, alone in the stream and after another record.
        {30, 31, 30, snapshot_schedule::max_age, false},
        {29, 31, 30, snapshot_schedule::max_age, false},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.first);
        CAPTURE(item.next);
        snapshot_schedule schedule;
        if (item.snapshot >= 0)
        {
            const auto offset = static_cast<std::uint64_t>(item.snapshot);
            schedule.on_snapshot(offset, offset - 1);
        }
        schedule.on_range(item.first, item.next);
        const bool at_once = schedule.take_due(start, max_records, 0);
        const bool later =
            !at_once && schedule.take_due(start + item.waited, max_records, 0);
        CHECK((at_once || later) == item.expected);
    }
}

// Guards against all nodes appending the same snapshot, and against none appending it.
TEST_CASE("a node of lower rank waits and appends nothing once it reads a snapshot")
{
    snapshot_schedule second;
    second.on_range(5, 20);
    CHECK_FALSE(second.take_due(start, max_records, 1));
    snapshot_schedule third = second;
    const auto turn = start + snapshot_schedule::rank_delay;
    CHECK(second.take_due(turn, max_records, 1));
    CHECK_FALSE(second.take_due(turn + milliseconds(1), max_records, 1));
    CHECK(second.take_due(turn + snapshot_schedule::retry_delay, max_records, 1));
    third.on_snapshot(20, 19);
    third.on_range(5, 21);
    CHECK_FALSE(third.take_due(turn + snapshot_schedule::rank_delay, max_records, 1));
}

// Guards against a late snapshot, from a node that was disconnected, being accepted as
// covering newer records.
TEST_CASE("a snapshot that covers less than an earlier one is ignored")
{
    snapshot_schedule schedule;
    schedule.on_snapshot(8, 7);
    schedule.on_snapshot(17, 2);
    schedule.on_range(4, 18);
    CHECK(schedule.take_due(start, max_records, 0));
}
