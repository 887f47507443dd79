#pragma once

#include "state/clock.hpp"

#include <cstdint>
#include <string>

namespace pomelorouter::coordination
{

/// Record of the lease topic.
struct lease_record
{
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;
    /// The holder gives the lease up.
    bool is_release = false;
};

struct store_lease_timing
{
    /// A renewal is due this long after the one before.
    state::milliseconds renew{1000};
    /// After a renewal was sent, the holder may give orders for this long.
    state::milliseconds order_window{2000};
    /// Orders of two holders are at least this far apart.
    state::milliseconds separation{3000};
    /// Allowance for the speed of clocks and for records under way.
    state::milliseconds margin{400};
    /// A renewal that the store did not take counts as tried for this long.
    state::milliseconds attempt_life{2500};
    /// Engines refuse orders with an older fencing token. A holder that the store does
    /// not answer then goes on until it is refused or hears of a successor: orders of two
    /// holders do no harm, while a fleet that nobody orders does.
    bool engines_check_tokens = false;
};

/// What to append to the lease topic.
struct lease_append
{
    lease_record record;
    std::uint64_t expected_end = 0;
};

/// Lease on a topic of the store with conditional appends. An append succeeds only if the
/// topic ends where this process believes, so at most one process continues a given
/// record. Time must come from a clock that runs on while the instance is suspended.
class store_lease
{
public:
    store_lease(std::string node, std::uint64_t incarnation,
                const store_lease_timing& times);

    /// The newest record and the end of the topic were read. `end` 0 means no record.
    void on_read(state::time_point now, const lease_record& newest, std::uint64_t end);
    /// A peer knows the topic up to `end`, with `epoch` held by `holder`.
    void on_heard(state::time_point now, const std::string& holder, std::uint64_t epoch,
                  std::uint64_t end);
    /// What is to be appended now; nothing if `has_append` returns false afterwards.
    /// `rank` staggers the candidates: 0 claims first. `may_hold` is false for a process
    /// that is stopping or not ready.
    bool next_append(state::time_point now, std::size_t rank, bool may_hold,
                     lease_append& append) const;
    /// The record of `next_append` is handed to the store at `now`.
    void on_sending(state::time_point now);
    /// The append was answered: appended, or the topic ends at `end`.
    void on_append_answer(state::time_point now, const lease_append& append,
                          bool is_appended, std::uint64_t end);
    /// The append had no answer; the record may have been appended.
    void on_append_unknown(state::time_point now);
    /// The topic could not be read.
    void on_read_failed(state::time_point now);
    /// An engine refused the fencing token, so another process has claimed.
    void on_fenced();
    /// Whether the topic must be read before anything can be appended.
    bool needs_read() const { return this->read_needed; }

    /// Whether orders may be given at `now`.
    bool may_order(state::time_point now) const;
    bool is_holder() const { return this->holding; }
    std::uint64_t epoch() const { return this->newest.epoch; }
    const std::string& holder() const { return this->newest.holder; }
    std::uint64_t end_offset() const { return this->end; }

private:
    void adopt(state::time_point now, const lease_record& record, std::uint64_t new_end);

    std::string node;
    std::uint64_t incarnation;
    store_lease_timing timing;
    lease_record newest;
    std::uint64_t end = 0;
    /// When this process learnt that the topic ends at `end`.
    state::time_point end_known_at{};
    bool read_needed = true;
    bool holding = false;
    /// When the append under way, and the last successful one, were sent.
    state::time_point sending_at{};
    state::time_point renewed_at{};
    /// When the store last failed to answer.
    state::time_point unanswered_at{};
    /// Orders are given from here on; later than the claim if there was a holder before.
    state::time_point order_from{};
};

} // namespace pomelorouter::coordination
