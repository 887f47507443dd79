#pragma once

#include "state/clock.hpp"

#include <cstdint>
#include <string>

namespace pomelorouter::coordination
{

/// Record in the lease topic.
struct lease_record
{
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;
    /// Whether the holder releases the lease.
    bool is_release = false;
    /// Whether the holder may issue orders, so that those of an earlier one are long
    /// past.
    bool may_order = true;
};

struct store_lease_timing
{
    /// Interval between renewals.
    state::milliseconds renew{1000};
    /// The holder may issue orders for this long after it sent a successful renewal.
    state::milliseconds order_window{2000};
    /// Minimum time between orders of different holders.
    state::milliseconds separation{3000};
    /// Tolerance for differing clock rates and for records in transit.
    state::milliseconds margin{400};
    /// A failed attempt to reach the store counts as recent for this long.
    state::milliseconds attempt_lifetime{2500};
    /// Whether engines reject orders with an older fencing token. If so, a holder
    /// continues while the store does not respond, until an engine rejects an order or a
    /// successor is heard of: orders of two holders then do no harm, but a lack of orders
    /// does.
    bool engines_check_tokens = false;
};

/// Conditional append to the lease topic.
struct lease_append
{
    lease_record record;
    std::uint64_t expected_end = 0;
};

/// Lease on a topic of the store that supports conditional appends. An append succeeds
/// only if the topic ends at the expected offset, so at most one process appends after a
/// given record. Times must come from a clock that keeps running while the instance is
/// suspended.
///
/// The store may return from an older copy and lose the newest records, which begins a
/// new era. Epochs begin with the era, so that none is used again, and a record of an
/// earlier era does not tell who held the lease last. The same holds for the records of
/// another store.
class store_lease
{
public:
    store_lease(std::string node, std::uint64_t incarnation,
                const store_lease_timing& times);

    /// Processes the newest record and the end of the topic. An `end` of 0 means no
    /// record.
    void on_read(state::time_point now, const lease_record& newest, std::uint64_t end);
    /// Processes the report of a peer that the topic ends at `end` and `holder` has
    /// `epoch`.
    void on_peer_report(state::time_point now, const std::string& holder,
                        std::uint64_t epoch, std::uint64_t end);
    /// Begins a new era of the store. What was known of the topic is discarded.
    void on_era(state::time_point now, std::uint64_t new_era);
    /// Goes on with the topic of another store, whose era is not known yet. Epochs
    /// continue above all that were known.
    void on_store_moved(state::time_point now);
    /// Changes the times. The separation holds for the next claim, the others at once.
    void set_timing(const store_lease_timing& times) { this->timing = times; }
    /// Sets `append` and returns true if an append is due. `rank` delays the candidates
    /// one after another; 0 claims first. `may_hold` is false for a process that is
    /// stopping or not ready.
    bool next_append(state::time_point now, std::size_t rank, bool may_hold,
                     lease_append& append) const;
    /// Records that the append of `next_append` is sent to the store at `now`.
    void on_sending(state::time_point now);
    /// Processes the response to an append: it succeeded or failed, and the topic ends at
    /// `end`.
    void on_append_response(state::time_point now, const lease_append& append,
                            bool is_appended, std::uint64_t end);
    /// Records that an append got no response; it may have succeeded.
    void on_append_unknown(state::time_point now);
    /// Records that the topic could not be read.
    void on_read_failed(state::time_point now);
    /// Gives up the lease because another process has claimed it: an engine rejected the
    /// fencing token, or the other process holds it in another store.
    void on_fenced();
    /// Whether the topic must be read before the next append.
    bool needs_read() const { return this->read_needed; }
    /// Whether this process held the lease when the present era began and has not claimed
    /// it again yet.
    bool continues(state::time_point now) const { return now < this->continues_until; }

    /// Whether this process may issue orders at `now`.
    bool may_issue_orders(state::time_point now) const;
    bool is_holder() const { return this->is_holding; }
    std::uint64_t epoch() const { return this->newest.epoch; }
    const std::string& holder() const { return this->newest.holder; }
    std::uint64_t end_offset() const { return this->end; }

private:
    void begin_topic(state::time_point now);
    void forget_topic();
    void adopt(state::time_point now, const lease_record& record, std::uint64_t new_end);
    /// Whether a record is from an earlier era or from before the present store, so that
    /// later ones may be lost.
    bool is_outdated(const lease_record& record) const;
    /// Whether another process may have issued orders a short time ago.
    bool may_follow_other(state::time_point now) const;

    std::string node;
    std::uint64_t incarnation;
    store_lease_timing timing;
    lease_record newest;
    std::uint64_t era = 0;
    /// Epochs up to this one are outdated.
    std::uint64_t base = 0;
    std::uint64_t end = 0;
    /// Time at which this process learnt that the topic ends at `end`.
    state::time_point end_known_at{};
    bool read_needed = true;
    bool is_holding = false;
    /// Send times of the append in progress and of the last successful one.
    state::time_point sending_at{};
    state::time_point renewed_at{};
    /// Time at which the store last failed to respond.
    state::time_point last_failure{};
    /// Orders may be issued from this time on; later than the claim if another node held
    /// the lease before.
    state::time_point order_from{};
    state::time_point continues_until{};
};

} // namespace pomelorouter::coordination
