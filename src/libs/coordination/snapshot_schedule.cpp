#include "coordination/snapshot_schedule.hpp"

#include <algorithm>

namespace pomelorouter::coordination
{

void snapshot_schedule::on_snapshot(std::uint64_t offset, std::uint64_t upto)
{
    // A node that lags may append a snapshot that covers less than one already read.
    if (this->newest && upto < this->newest_upto)
        return;
    this->newest = offset;
    this->newest_upto = upto;
    this->needed_since.reset();
    this->uncovered_since.reset();
}

void snapshot_schedule::on_range(std::uint64_t range_first, std::uint64_t range_next)
{
    this->first = std::max(this->first, range_first);
    this->next = std::max(this->next, range_next);
}

bool snapshot_schedule::take_due(state::time_point now, std::uint64_t max_records,
                                 std::size_t rank)
{
    const bool is_covered =
        this->newest ? *this->newest + 1 >= this->next : this->next == 0;
    if (is_covered)
        this->uncovered_since.reset();
    else if (!this->uncovered_since)
        this->uncovered_since = now;
    if (!this->is_needed(now, max_records))
    {
        this->needed_since.reset();
        return false;
    }
    if (!this->needed_since)
        this->needed_since = now;
    const bool is_turn =
        now - *this->needed_since >= rank_delay * static_cast<std::int64_t>(rank);
    const bool is_pending = this->last_taken && now - *this->last_taken < retry_delay;
    if (!is_turn || is_pending)
        return false;
    this->last_taken = now;
    return true;
}

bool snapshot_schedule::is_needed(state::time_point now, std::uint64_t max_records) const
{
    if (this->next == 0)
        return false;
    // The retention period is known only from the oldest record in the log. When the
    // snapshot is in the older half of the stream, half of its retention may have passed.
    const std::uint64_t retained = this->next - std::min(this->first, this->next);
    if (this->first > 0 &&
        (!this->newest || *this->newest < this->first + (retained / 2)))
        return true;
    const std::uint64_t uncovered =
        this->newest ? this->next - std::min(this->next, *this->newest + 1) : this->next;
    if (uncovered >= max_records)
        return true;
    return this->uncovered_since && now - *this->uncovered_since >= max_age;
}

} // namespace pomelorouter::coordination
