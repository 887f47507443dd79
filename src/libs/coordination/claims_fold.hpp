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

/// What the log says of one key.
struct claim_state
{
    protocol::key_claim claim;
    std::string writer;
    std::uint64_t incarnation = 0;
    std::optional<protocol::key_outcome> outcome;
};

/// What a batch of claims did when it was folded.
struct folded_batch
{
    std::string writer;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// Keys whose claim in this batch was the first one.
    std::vector<std::string> won;
    /// Keys that had been claimed before.
    std::vector<std::string> lost;
};

/// Folds the claims stream: the first claim of a key in log order wins. All nodes that
/// have read the same prefix have the same state.
class claims_fold
{
public:
    /// Tells that the next record comes from `first`. The state stays unknown until a
    /// snapshot reaches back this far.
    void begin_at(std::uint64_t first);
    /// Makes the state known without a snapshot once every claim made before the first
    /// record read has expired at wall time `now_s`. Call at intervals.
    void settle(std::int64_t now_s);
    /// Applies one record. Returns what a batch did, or nothing for a snapshot and for
    /// the second copy of a batch. Throws `state::error` if the record cannot be read; it
    /// is then skipped for good.
    std::optional<folded_batch> apply(std::uint64_t offset, std::string_view data);
    /// The present state, for a snapshot record.
    protocol::claims_snapshot snapshot() const;

    /// Whether the state is that of a known prefix; a node whose state is not known must
    /// not run caller-chosen keys.
    bool is_known() const { return this->known; }
    std::uint64_t next_offset() const { return this->next; }
    /// Sequence number of the last batch of a process that was folded; 0 if none.
    std::uint64_t last_sequence(const std::string& writer,
                                std::uint64_t incarnation) const;
    /// Batches folded since the newest snapshot was read.
    std::uint64_t records_since_snapshot() const { return this->since_snapshot; }
    std::size_t size() const { return this->claims.size(); }
    /// Returns the claim of a key that is still alive at wall time `now_s`, or null.
    const claim_state* find(std::string_view key, std::int64_t now_s) const;

private:
    struct unread_record
    {
        std::uint64_t offset;
        std::string data;
    };
    struct writer_state
    {
        std::uint64_t sequence = 0;
        std::int64_t time_s = 0;
    };

    std::optional<folded_batch> apply_known(std::uint64_t offset, std::string_view data);
    folded_batch apply_batch(const protocol::claim_batch& batch);
    void apply_outcome(const protocol::claim_batch& batch,
                       const protocol::key_outcome& outcome);
    void look_for_snapshot(std::uint64_t offset, std::string_view data);
    void adopt(const protocol::claims_snapshot& snapshot);
    void fold_unread();
    void prune();

    bool known = false;
    std::uint64_t next = 0;
    std::uint64_t since_snapshot = 0;
    /// Latest time of a claim; part of the state, so that all nodes forget alike.
    std::int64_t latest_s = 0;
    std::map<std::string, claim_state, std::less<>> claims;
    /// Claims by the time at which they may be forgotten.
    std::multimap<std::int64_t, std::string> expiry;
    std::map<std::pair<std::string, std::uint64_t>, writer_state> writers;
    std::uint64_t unread_begin = 0;
    std::vector<unread_record> unread;
    /// While the state is unknown: no later than this were the claims before `unread`.
    std::optional<std::int64_t> unread_since_s;
    /// Longest lifetime of a claim read while the state is unknown.
    std::int64_t unread_lifetime_s = 0;
};

} // namespace pomelorouter::coordination
