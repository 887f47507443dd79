#pragma once

#include "protocol/claim_records.hpp"
#include "state/clock.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::coordination
{

struct claim_batch_limits
{
    std::size_t max_items = 500;
    std::size_t max_bytes = 512 * 1024;
    /// Maximum number of queued claims; further claims are rejected.
    std::size_t max_waiting = 5000;
    /// An outcome waits this long for claims to share its batch before it is sent alone.
    state::milliseconds outcome_delay{100};
    /// Delay before a batch is sent again after an append that failed or got no response.
    state::milliseconds resend_delay{200};
};

/// A batch as it is appended to the log. A repeated append has the same sequence number
/// and contents.
struct outgoing_batch
{
    std::uint64_t sequence = 0;
    std::vector<protocol::key_claim> claims;
    std::vector<protocol::key_outcome> outcomes;
};

/// Collects claims and outcomes into batches. At most one batch is in flight; it remains
/// so until it is read back from the log or the log has definitely rejected it.
class claim_batcher
{
public:
    explicit claim_batcher(const claim_batch_limits& batch_limits = {});

    /// Limits the appends of this node to its share of the limit for all nodes.
    void set_rate(double appends_per_s);
    /// Queues a claim; returns false if the queue is full.
    bool add_claim(protocol::key_claim claim);
    /// Removes a claim from the queue; returns false if no queued claim has this key.
    bool remove_claim(std::string_view key);
    void add_outcome(protocol::key_outcome outcome, state::time_point now);
    /// Removes and returns all queued claims.
    std::vector<protocol::key_claim> take_waiting_claims();

    /// Returns the batch to append now, either new or repeated, or null if none is due.
    const outgoing_batch* next(state::time_point now);
    /// Records that the log confirmed the append; the batch remains in flight until it is
    /// read back.
    void on_append_confirmed(std::uint64_t sequence);
    /// Records that the result of the append is unknown. The batch is sent again unless
    /// it is read back first.
    void on_append_unknown(std::uint64_t sequence, state::time_point now);
    /// Records that the log definitely rejected the append. Returns the claims of the
    /// batch, or none if an earlier append of the same batch may have succeeded.
    std::vector<protocol::key_claim> on_append_rejected(std::uint64_t sequence,
                                                        state::time_point now);
    /// Ends the batch in flight, which has been read back from the log, and returns it.
    outgoing_batch on_read_back();

    /// Returns the batch in flight, or null.
    const outgoing_batch* in_flight() const
    {
        return this->batch ? &*this->batch : nullptr;
    }
    /// Returns the time of the first append of the batch in flight.
    state::time_point sent_at() const { return this->first_sent; }
    std::size_t waiting_claims() const { return this->claims.size(); }

private:
    struct waiting_outcome
    {
        protocol::key_outcome outcome;
        state::time_point added;
    };

    bool has_work(state::time_point now) const;
    void fill_batch();

    claim_batch_limits limits;
    state::microseconds interval{10000};
    std::deque<protocol::key_claim> claims;
    std::deque<waiting_outcome> outcomes;
    std::optional<outgoing_batch> batch;
    /// Whether an append of the batch is in progress or was confirmed.
    bool appending = false;
    /// Whether an append of the batch succeeded or may have succeeded.
    bool may_be_in_log = false;
    std::uint64_t next_sequence = 1;
    state::time_point next_append{};
    state::time_point resend_at{};
    state::time_point first_sent{};
};

} // namespace pomelorouter::coordination
