#include "coordination/claim_batcher.hpp"

#include <algorithm>
#include <utility>

namespace pomelorouter::coordination
{

namespace
{

// Upper bounds of the encoded size of one item, in bytes, without its strings.
constexpr std::size_t claim_overhead_bytes = 160;
constexpr std::size_t outcome_overhead_bytes = 160;
// JSON escapes a control character as six bytes.
constexpr std::size_t json_escape_factor = 6;
constexpr double microseconds_per_s = 1e6;

std::size_t size_of(const protocol::key_claim& claim)
{
    return claim_overhead_bytes + claim.key.size() + claim.request.size();
}

std::size_t size_of(const protocol::key_outcome& outcome)
{
    return outcome_overhead_bytes + outcome.key.size() +
           json_escape_factor * (outcome.content_type.size() + outcome.body.size());
}

} // namespace

claim_batcher::claim_batcher(const claim_batch_limits& batch_limits)
    : limits(batch_limits)
{
}

void claim_batcher::set_rate(double appends_per_s)
{
    this->interval = state::microseconds(
        static_cast<std::int64_t>(microseconds_per_s / std::max(appends_per_s, 0.01)));
}

bool claim_batcher::add_claim(protocol::key_claim claim)
{
    if (this->claims.size() >= this->limits.max_waiting)
        return false;
    this->claims.push_back(std::move(claim));
    return true;
}

bool claim_batcher::remove_claim(std::string_view key)
{
    const auto found =
        std::find_if(this->claims.begin(), this->claims.end(),
                     [&](const protocol::key_claim& item) { return item.key == key; });
    if (found == this->claims.end())
        return false;
    this->claims.erase(found);
    return true;
}

void claim_batcher::add_outcome(protocol::key_outcome outcome, state::time_point now)
{
    this->outcomes.push_back({std::move(outcome), now});
}

std::vector<protocol::key_claim> claim_batcher::take_waiting_claims()
{
    std::vector<protocol::key_claim> taken(this->claims.begin(), this->claims.end());
    this->claims.clear();
    return taken;
}

const outgoing_batch* claim_batcher::next(state::time_point now)
{
    if (this->appending || now < this->next_append)
        return nullptr;
    if (this->batch)
    {
        if (now < this->resend_at)
            return nullptr;
    }
    else
    {
        if (!this->has_work(now))
            return nullptr;
        this->fill_batch();
        this->first_sent = now;
    }
    this->appending = true;
    this->next_append = now + this->interval;
    return &*this->batch;
}

void claim_batcher::on_append_confirmed(std::uint64_t sequence)
{
    // The batch may already have been read back from the log.
    if (this->batch && this->batch->sequence == sequence)
        this->may_be_in_log = true;
}

void claim_batcher::on_append_unknown(std::uint64_t sequence, state::time_point now)
{
    if (!this->batch || this->batch->sequence != sequence)
        return;
    this->appending = false;
    this->may_be_in_log = true;
    this->resend_at = now + this->limits.resend_delay;
}

std::vector<protocol::key_claim> claim_batcher::on_append_rejected(std::uint64_t sequence,
                                                                   state::time_point now)
{
    if (!this->batch || this->batch->sequence != sequence)
        return {};
    this->appending = false;
    this->resend_at = now + this->limits.resend_delay;
    if (this->may_be_in_log)
        return {};
    // The sequence number is used again, since no record in the log has it.
    outgoing_batch refused = std::move(*this->batch);
    this->batch.reset();
    this->next_append = std::max(this->next_append, this->resend_at);
    for (auto item = refused.outcomes.rbegin(); item != refused.outcomes.rend(); ++item)
        this->outcomes.push_front({std::move(*item), now});
    return std::move(refused.claims);
}

outgoing_batch claim_batcher::on_read_back()
{
    outgoing_batch result = std::move(*this->batch);
    this->batch.reset();
    this->appending = false;
    this->may_be_in_log = false;
    this->next_sequence = result.sequence + 1;
    return result;
}

bool claim_batcher::has_work(state::time_point now) const
{
    if (!this->claims.empty() || this->outcomes.size() >= this->limits.max_items)
        return true;
    return !this->outcomes.empty() &&
           now >= this->outcomes.front().added + this->limits.outcome_delay;
}

void claim_batcher::fill_batch()
{
    outgoing_batch filled;
    filled.sequence = this->next_sequence;
    std::size_t bytes = 0;
    // Claims come first because requests wait for them. A quarter of the batch is
    // reserved for outcomes, so that a constant load of claims cannot starve them.
    const std::size_t max_claim_items =
        this->limits.max_items - this->limits.max_items / 4;
    const std::size_t max_claim_bytes =
        this->limits.max_bytes - this->limits.max_bytes / 4;
    while (!this->claims.empty() && filled.claims.size() < max_claim_items &&
           bytes + size_of(this->claims.front()) <= max_claim_bytes)
    {
        bytes += size_of(this->claims.front());
        filled.claims.push_back(std::move(this->claims.front()));
        this->claims.pop_front();
    }
    while (!this->outcomes.empty() &&
           filled.claims.size() + filled.outcomes.size() < this->limits.max_items &&
           bytes + size_of(this->outcomes.front().outcome) <= this->limits.max_bytes)
    {
        bytes += size_of(this->outcomes.front().outcome);
        filled.outcomes.push_back(std::move(this->outcomes.front().outcome));
        this->outcomes.pop_front();
    }
    this->batch = std::move(filled);
    this->may_be_in_log = false;
}

} // namespace pomelorouter::coordination
