#include "coordination/replicated_claims.hpp"

#include "state/error.hpp"

#include <algorithm>
#include <iterator>

namespace pomelorouter::coordination
{

namespace
{

// Expired claims are kept this much longer, so that a late claim of the same key still
// conflicts: clocks of nodes differ, and a claim may be queued at its writer while the
// log is unavailable.
constexpr std::int64_t removal_margin_s = 3600;
// Must exceed the time for which a writer sends the same batch again, since the sequence
// number of the writer identifies duplicates. This is far longer.
constexpr std::int64_t writer_lifetime_s = 24 * 3600;
// Lifetime assumed for claims in missed records if no claim that was read has one.
constexpr std::int64_t default_lifetime_s = 24 * 3600;
// Covers clock differences between nodes and the duration of an append when deciding that
// all claims in missed records have expired.
constexpr std::int64_t clock_margin_s = 300;

std::int64_t expires_s(const protocol::key_claim& claim)
{
    return claim.time_s + claim.lifetime_s;
}

} // namespace

void replicated_claims::begin_at(std::uint64_t first)
{
    if (first == 0 && !this->known && this->next == 0)
    {
        this->known = true;
        return;
    }
    if (this->known && first <= this->next)
        return;
    // The log has already deleted the records between the current state and `first`.
    this->known = false;
    this->buffer_begin = first;
    this->buffered.clear();
    this->missed_claims_until_s.reset();
    this->max_buffered_lifetime_s = 0;
}

void replicated_claims::expire_missed_claims(std::int64_t now_s)
{
    // For a stream that starts at offset 0, `begin_at` makes the state known at once.
    if (this->known || this->buffer_begin == 0)
        return;
    if (!this->missed_claims_until_s)
        this->missed_claims_until_s = now_s;
    const std::int64_t lifetime_s = this->max_buffered_lifetime_s > 0
                                        ? this->max_buffered_lifetime_s
                                        : default_lifetime_s;
    if (now_s < *this->missed_claims_until_s + lifetime_s + clock_margin_s)
        return;
    this->claims.clear();
    this->expiry.clear();
    this->writers.clear();
    this->latest_s = 0;
    this->next = this->buffer_begin;
    this->known = true;
    this->apply_buffered();
}

std::optional<applied_batch> replicated_claims::apply(std::uint64_t offset,
                                                      std::string_view data)
{
    if (offset < this->next)
        return std::nullopt;
    if (this->known)
        return this->apply_known(offset, data);
    this->look_for_snapshot(offset, data);
    return std::nullopt;
}

const claim_state* replicated_claims::find(std::string_view key, std::int64_t now_s) const
{
    const auto found = this->claims.find(key);
    if (found == this->claims.end() || now_s >= expires_s(found->second.claim))
        return nullptr;
    return &found->second;
}

std::uint64_t replicated_claims::last_sequence(const std::string& writer,
                                               std::uint64_t incarnation) const
{
    const auto found = this->writers.find({writer, incarnation});
    return found == this->writers.end() ? 0 : found->second.sequence;
}

protocol::claims_snapshot replicated_claims::snapshot() const
{
    protocol::claims_snapshot result;
    result.upto = this->next == 0 ? 0 : this->next - 1;
    result.time_s = this->latest_s;
    for (const auto& [key, item] : this->claims)
    {
        result.claims.push_back({item.claim, item.writer, item.incarnation});
        if (item.outcome)
            result.outcomes.push_back(*item.outcome);
    }
    for (const auto& [id, writer] : this->writers)
        result.writers.push_back({id.first, id.second, writer.sequence, writer.time_s});
    return result;
}

std::optional<applied_batch> replicated_claims::apply_known(std::uint64_t offset,
                                                            std::string_view data)
{
    // Advance before parsing: every node skips a malformed record.
    this->next = offset + 1;
    const protocol::claim_record record = protocol::parse_claim_record(data);
    const auto* batch = std::get_if<protocol::claim_batch>(&record);
    if (batch == nullptr)
    {
        this->since_snapshot = 0;
        return std::nullopt;
    }
    ++this->since_snapshot;
    const auto id = std::make_pair(batch->header.writer, batch->header.incarnation);
    const auto writer = this->writers.find(id);
    // Duplicate of a batch whose append was repeated because its response was lost.
    if (writer != this->writers.end() &&
        batch->header.sequence <= writer->second.sequence)
        return std::nullopt;
    applied_batch result = this->apply_batch(*batch);
    this->writers[id] = {batch->header.sequence, this->latest_s};
    this->prune();
    return result;
}

applied_batch replicated_claims::apply_batch(const protocol::claim_batch& batch)
{
    applied_batch result;
    result.writer = batch.header.writer;
    result.incarnation = batch.header.incarnation;
    result.sequence = batch.header.sequence;
    // Outcomes first: one of them may release the key of a claim in the same batch.
    for (const protocol::key_outcome& outcome : batch.outcomes)
        this->apply_outcome(batch, outcome);
    for (const protocol::key_claim& claim : batch.claims)
    {
        const auto found = this->claims.find(claim.key);
        // Compares only times from records, not the local clock, so that all nodes agree.
        if (found != this->claims.end() && claim.time_s < expires_s(found->second.claim))
        {
            result.lost.push_back(claim.key);
            continue;
        }
        claim_state item;
        item.claim = claim;
        item.writer = batch.header.writer;
        item.incarnation = batch.header.incarnation;
        this->claims.insert_or_assign(claim.key, std::move(item));
        this->expiry.emplace(expires_s(claim) + removal_margin_s, claim.key);
        this->latest_s = std::max(this->latest_s, claim.time_s);
        result.won.push_back(claim.key);
    }
    return result;
}

void replicated_claims::apply_outcome(const protocol::claim_batch& batch,
                                      const protocol::key_outcome& outcome)
{
    const auto found = this->claims.find(outcome.key);
    // Only the holder of a claim may record the outcome of its request, and only once.
    if (found == this->claims.end() || found->second.outcome ||
        found->second.writer != batch.header.writer ||
        found->second.incarnation != batch.header.incarnation)
        return;
    if (outcome.result == protocol::outcome_result::not_run)
        this->claims.erase(found);
    else
        found->second.outcome = outcome;
}

void replicated_claims::look_for_snapshot(std::uint64_t offset, std::string_view data)
{
    this->buffered.push_back({offset, std::string(data)});
    const protocol::claim_record record = protocol::parse_claim_record(data);
    const auto* snapshot = std::get_if<protocol::claims_snapshot>(&record);
    if (snapshot == nullptr)
    {
        const auto& batch = std::get<protocol::claim_batch>(record);
        // The append time of the first batch bounds the times of all missed claims. Claim
        // times give no such bound, since a claim may be much older than its append.
        if (!this->missed_claims_until_s)
            this->missed_claims_until_s = batch.time_s;
        for (const protocol::key_claim& claim : batch.claims)
        {
            this->max_buffered_lifetime_s =
                std::max(this->max_buffered_lifetime_s, claim.lifetime_s);
        }
        return;
    }
    // A snapshot that ends before the oldest retained record lacks the claims between the
    // two.
    if (snapshot->upto + 1 >= this->buffer_begin && snapshot->upto + 1 >= this->next)
        this->adopt(*snapshot);
}

void replicated_claims::adopt(const protocol::claims_snapshot& snapshot)
{
    this->claims.clear();
    this->expiry.clear();
    this->writers.clear();
    for (const protocol::held_claim& held : snapshot.claims)
    {
        claim_state item;
        item.claim = held.claim;
        item.writer = held.writer;
        item.incarnation = held.incarnation;
        this->claims.insert_or_assign(held.claim.key, std::move(item));
        this->expiry.emplace(expires_s(held.claim) + removal_margin_s, held.claim.key);
    }
    for (const protocol::key_outcome& outcome : snapshot.outcomes)
    {
        const auto found = this->claims.find(outcome.key);
        if (found != this->claims.end())
            found->second.outcome = outcome;
    }
    for (const protocol::claim_writer& writer : snapshot.writers)
        this->writers[{writer.writer, writer.incarnation}] = {writer.sequence,
                                                              writer.time_s};
    this->latest_s = snapshot.time_s;
    this->next = snapshot.upto + 1;
    this->since_snapshot = 0;
    this->known = true;
    this->apply_buffered();
}

void replicated_claims::apply_buffered()
{
    for (const buffered_record& record : std::exchange(this->buffered, {}))
    {
        if (record.offset < this->next)
            continue;
        try
        {
            this->apply_known(record.offset, record.data);
        }
        catch (const state::error&)
        {
            // Already reported by `look_for_snapshot`.
        }
    }
}

void replicated_claims::prune()
{
    while (!this->expiry.empty() && this->expiry.begin()->first <= this->latest_s)
    {
        const auto found = this->claims.find(this->expiry.begin()->second);
        // The key may have been claimed again since.
        if (found != this->claims.end() &&
            expires_s(found->second.claim) + removal_margin_s <= this->latest_s)
            this->claims.erase(found);
        this->expiry.erase(this->expiry.begin());
    }
    std::erase_if(this->writers, [this](const auto& entry)
                  { return entry.second.time_s + writer_lifetime_s < this->latest_s; });
}

} // namespace pomelorouter::coordination
