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
    /// Claims waiting for a batch; more are refused.
    std::size_t max_waiting = 5000;
    /// Outcomes wait this long for a claim that they can go with.
    state::milliseconds outcome_delay{100};
    /// A batch whose append has an unknown end is sent again after this time.
    state::milliseconds resend_delay{200};
};

/// A batch as it goes to the log; sent again it has the same number and contents.
struct outgoing_batch
{
    std::uint64_t sequence = 0;
    std::vector<protocol::key_claim> claims;
    std::vector<protocol::key_outcome> outcomes;
};

/// Gathers claims and outcomes into batches. At most one batch is under way, and it stays
/// so until the log has shown it or has certainly refused it.
class claim_batcher
{
public:
    explicit claim_batcher(const claim_batch_limits& batch_limits = {});

    /// Sets this node's share of the appends of all nodes.
    void set_rate(double appends_per_s);
    /// Returns false if too many claims wait.
    bool add_claim(protocol::key_claim claim);
    /// Takes back a claim that is not in a batch yet; returns whether it was there.
    bool remove_claim(std::string_view key);
    void add_outcome(protocol::key_outcome outcome, state::time_point now);
    /// Takes back all claims that are not in a batch yet.
    std::vector<protocol::key_claim> take_waiting_claims();

    /// Returns the batch to append now, a new one or one to be sent again, or null.
    const outgoing_batch* next(state::time_point now);
    /// The append was answered; the batch still has to be read back.
    void on_answered(std::uint64_t sequence);
    /// The append has an unknown end, so the batch is sent again unless it is read first.
    void on_unknown(std::uint64_t sequence, state::time_point now);
    /// The append was certainly refused. Returns the claims that were not made; none if
    /// an earlier append of the same batch may still have succeeded.
    std::vector<protocol::key_claim> on_rejected(std::uint64_t sequence,
                                                 state::time_point now);
    /// The batch has been read from the log; returns it.
    outgoing_batch on_folded();

    /// The batch under way, or null.
    const outgoing_batch* under_way() const
    {
        return this->batch ? &*this->batch : nullptr;
    }
    /// When the batch under way was first sent.
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
    /// Whether an append of the batch is under way or was answered.
    bool appending = false;
    /// Whether an append of the batch had an unknown end.
    bool may_be_in_log = false;
    std::uint64_t next_sequence = 1;
    state::time_point next_append{};
    state::time_point resend_at{};
    state::time_point first_sent{};
};

} // namespace pomelorouter::coordination
