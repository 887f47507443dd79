#pragma once

#include "protocol/claim_records.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pomelorouter::coordination
{

/// State of one key according to the log.
struct claim_state
{
    protocol::key_claim claim;
    std::string writer;
    std::uint64_t incarnation = 0;
    std::optional<protocol::key_outcome> outcome;
};

/// Result of applying a batch of claims.
struct applied_batch
{
    std::string writer;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// Keys that this batch claimed successfully.
    std::vector<std::string> won;
    /// Keys that an earlier record had already claimed.
    std::vector<std::string> lost;
};

/// Computes the state of all claims from the claims stream: the first claim of a key in
/// log order wins. All nodes that have read the same prefix of the stream have the same
/// state.
class replicated_claims
{
public:
    /// Sets the offset of the next record. If earlier records were missed, the state is
    /// unknown until a snapshot covers everything before `first`.
    void begin_at(std::uint64_t first);
    /// Makes the state known without a snapshot once every claim made before the first
    /// record read has expired at `now_s`, in seconds of the wall clock. Call it
    /// periodically.
    void expire_missed_claims(std::int64_t now_s);
    /// Applies one record. Returns the result of a batch, or nothing for a snapshot or a
    /// duplicate batch. Throws `state::error` if the record cannot be parsed; it is then
    /// skipped permanently.
    std::optional<applied_batch> apply(std::uint64_t offset, std::string_view data);
    /// Returns the current state for a snapshot record.
    protocol::claims_snapshot snapshot() const;

    /// Whether the state covers a complete prefix of the stream. While it does not, the
    /// node must not execute requests with keys that callers chose.
    bool is_known() const { return this->known; }
    std::uint64_t next_offset() const { return this->next; }
    /// Returns the sequence number of the last applied batch of a process, or 0.
    std::uint64_t last_sequence(const std::string& writer,
                                std::uint64_t incarnation) const;
    /// Number of batches applied since the newest snapshot was read.
    std::uint64_t records_since_snapshot() const { return this->since_snapshot; }
    std::size_t size() const { return this->claims.size(); }
    /// Returns the claim of a key, or null if there is none or it has expired at `now_s`,
    /// in seconds of the wall clock.
    const claim_state* find(std::string_view key, std::int64_t now_s) const;

private:
    struct buffered_record
    {
        std::uint64_t offset;
        std::string data;
    };
    struct writer_state
    {
        std::uint64_t sequence = 0;
        std::int64_t time_s = 0;
    };

    std::optional<applied_batch> apply_known(std::uint64_t offset, std::string_view data);
    applied_batch apply_batch(const protocol::claim_batch& batch);
    void apply_outcome(const protocol::claim_batch& batch,
                       const protocol::key_outcome& outcome);
    void look_for_snapshot(std::uint64_t offset, std::string_view data);
    void adopt(const protocol::claims_snapshot& snapshot);
    void apply_buffered();
    void prune();

    bool known = false;
    std::uint64_t next = 0;
    std::uint64_t since_snapshot = 0;
    /// Latest time of a claim. It is part of the replicated state, so that all nodes
    /// remove the same expired claims.
    std::int64_t latest_s = 0;
    std::map<std::string, claim_state, std::less<>> claims;
    /// Keys by the time, in seconds, at which their claims may be removed.
    std::multimap<std::int64_t, std::string> expiry;
    std::map<std::pair<std::string, std::uint64_t>, writer_state> writers;
    std::uint64_t buffer_begin = 0;
    std::vector<buffered_record> buffered;
    /// While the state is unknown: upper bound of the times of the missed claims.
    std::optional<std::int64_t> missed_claims_until_s;
    /// Longest lifetime of a claim read while the state is unknown.
    std::int64_t max_buffered_lifetime_s = 0;
};

} // namespace pomelorouter::coordination
