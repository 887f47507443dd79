#pragma once

#include "state/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace pomelorouter::coordination
{

/// Decides when this node appends a snapshot of a stream, so that no reader that starts
/// later finds records expired that no snapshot covers. Nodes wait by their rank, so that
/// normally one of them writes it.
class snapshot_schedule
{
public:
    /// A snapshot of the state up to `upto` was read at `offset`.
    void on_snapshot(std::uint64_t offset, std::uint64_t upto);
    /// The stream now holds the records from `first` up to, but without, `next`.
    void on_range(std::uint64_t first, std::uint64_t next);
    /// Whether to append a snapshot now; if so, no other is asked for until it was read
    /// or a time has passed. `max_records` is the number of records without a snapshot.
    bool take_due(state::time_point now, std::uint64_t max_records, std::size_t rank);

    static constexpr state::milliseconds rank_delay{2000};
    static constexpr state::milliseconds retry_delay{5000};
    static constexpr state::milliseconds max_age{300000};

private:
    bool is_needed(state::time_point now, std::uint64_t max_records) const;

    std::uint64_t first = 0;
    std::uint64_t next = 0;
    /// Offset of the snapshot that reaches furthest, and what it covers.
    std::optional<std::uint64_t> newest;
    std::uint64_t newest_upto = 0;
    /// Since when there have been records that no snapshot covers.
    std::optional<state::time_point> uncovered_since;
    std::optional<state::time_point> needed_since;
    std::optional<state::time_point> last_taken;
};

} // namespace pomelorouter::coordination
