#pragma once

#include "state/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace pomelorouter::coordination
{

/// Decides when this node appends a snapshot of a stream. A reader that starts later must
/// always find a snapshot that covers the deleted records. Nodes wait according to their
/// rank, so that normally only one of them appends it.
class snapshot_schedule
{
public:
    /// Records that a snapshot of the state up to `upto` was read at `offset`.
    void on_snapshot(std::uint64_t offset, std::uint64_t upto);
    /// Sets the range of offsets in the stream, from `first` up to but excluding `next`.
    void on_range(std::uint64_t first, std::uint64_t next);
    /// Returns whether to append a snapshot now. After true, it returns false until the
    /// snapshot was read or `retry_delay` has passed. `max_records` is the number of
    /// records without a snapshot from which one is due.
    bool take_due(state::time_point now, std::uint64_t max_records, std::size_t rank);

    static constexpr state::milliseconds rank_delay{2000};
    static constexpr state::milliseconds retry_delay{5000};
    static constexpr state::milliseconds max_age{300000};

private:
    bool is_needed(state::time_point now, std::uint64_t max_records) const;

    std::uint64_t first = 0;
    std::uint64_t next = 0;
    /// Offset of the snapshot that covers most, and the last offset that it covers.
    std::optional<std::uint64_t> newest;
    std::uint64_t newest_upto = 0;
    /// Time since which there are records that no snapshot covers.
    std::optional<state::time_point> uncovered_since;
    std::optional<state::time_point> needed_since;
    std::optional<state::time_point> last_taken;
};

} // namespace pomelorouter::coordination
