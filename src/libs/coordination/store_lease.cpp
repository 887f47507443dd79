#include "coordination/store_lease.hpp"

#include <algorithm>
#include <utility>

namespace pomelorouter::coordination
{

namespace
{

/// Delay between the claims of candidates of consecutive rank.
constexpr state::milliseconds rank_step{300};
/// Epochs of one era differ in the lower bits only.
constexpr unsigned era_shift = 32;

/// Epochs in successive stores differ by at least one step. What is claimed in the
/// earlier store meanwhile, by gateways that still use it, stays below.
constexpr std::uint64_t store_step = 1U << 16U;

/// Returns a number below all epochs of an era and above those of earlier ones.
std::uint64_t base_of(std::uint64_t era)
{
    return era << era_shift;
}

} // namespace

store_lease::store_lease(std::string own_node, std::uint64_t own_incarnation,
                         const store_lease_timing& times)
    : node(std::move(own_node)), incarnation(own_incarnation), timing(times)
{
}

void store_lease::on_read(state::time_point now, const lease_record& record,
                          std::uint64_t new_end)
{
    this->read_needed = false;
    if (new_end == this->end && this->end_known_at != state::time_point{})
        return;
    if (new_end < this->end)
        return;
    this->adopt(now, record, new_end);
}

void store_lease::adopt(state::time_point now, const lease_record& record,
                        std::uint64_t new_end)
{
    const bool is_own = record.holder == this->node &&
                        record.incarnation == this->incarnation && !record.is_release &&
                        !this->is_outdated(record);
    // The append got no response but succeeded; the renewal counts from its send time.
    if (is_own && this->sending_at > this->renewed_at)
        this->renewed_at = this->sending_at;
    if (is_own && record.epoch > this->newest.epoch)
    {
        this->order_from =
            this->may_follow_other(now) ? now + this->timing.separation : now;
    }
    if (!this->is_outdated(record))
        this->continues_until = {};
    this->is_holding = is_own;
    // A holder that knows only lower epochs renews in vain, so its records do not delay
    // the claim of a process that knows better.
    if (!this->is_outdated(record) || this->end_known_at == state::time_point{})
        this->end_known_at = now;
    this->newest = record;
    this->end = new_end;
}

void store_lease::on_era(state::time_point now, std::uint64_t new_era)
{
    if (new_era <= this->era)
        return;
    // The first era of a store is no return of it.
    if (this->era > 0 || this->may_issue_orders(now))
        this->begin_topic(now);
    this->era = new_era;
    this->base = std::max(this->base, base_of(new_era));
    this->forget_topic();
}

void store_lease::on_store_moved(state::time_point now)
{
    this->begin_topic(now);
    this->era = 0;
    this->base = (std::max(this->newest.epoch, this->base) / store_step + 1) * store_step;
    // The other holders of the earlier store are unknown here.
    this->newest = {"", 0, this->newest.epoch, false};
    this->sending_at = this->renewed_at;
    this->forget_topic();
}

/// A holder that could issue orders until now follows nobody in the new topic.
void store_lease::begin_topic(state::time_point now)
{
    this->continues_until = this->may_issue_orders(now) ? now + this->timing.order_window
                                                        : state::time_point{};
}

void store_lease::forget_topic()
{
    this->end = 0;
    this->end_known_at = {};
    this->is_holding = false;
    this->read_needed = true;
}

bool store_lease::is_outdated(const lease_record& record) const
{
    return record.epoch <= this->base && this->base > 0;
}

bool store_lease::may_follow_other(state::time_point now) const
{
    if (this->continues(now))
        return false;
    if (this->is_outdated(this->newest))
        return true;
    // An earlier process of this instance may have ended before it could issue orders.
    return this->end > 0 &&
           (this->newest.holder != this->node || !this->newest.may_order);
}

void store_lease::on_peer_report(state::time_point now, const std::string& heard_holder,
                                 std::uint64_t heard_epoch, std::uint64_t heard_end)
{
    if (heard_end <= this->end)
        return;
    this->read_needed = false;
    const bool is_own = heard_holder == this->node;
    // Only reading the topic shows whether an own append succeeded.
    if (is_own)
    {
        this->read_needed = true;
        return;
    }
    this->adopt(now, {heard_holder, 0, heard_epoch, false}, heard_end);
}

bool store_lease::next_append(state::time_point now, std::size_t rank, bool may_hold,
                              lease_append& append) const
{
    if (this->read_needed)
        return false;
    append.expected_end = this->end;
    append.record = {this->node, this->incarnation, this->newest.epoch, false};
    append.record.may_order =
        this->is_holding ? now >= this->order_from : !this->may_follow_other(now);
    if (this->is_holding)
    {
        append.record.is_release = !may_hold;
        return !may_hold || now - this->renewed_at >= this->timing.renew;
    }
    if (!may_hold)
        return false;
    append.record.epoch = std::max(this->newest.epoch, this->base) + 1;
    if (this->continues(now))
        return true;
    const auto stagger = rank_step * static_cast<int>(rank);
    // The last holder was an earlier process of this instance, which has ended.
    const bool is_outdated_record = this->is_outdated(this->newest);
    const bool was_own = this->newest.holder == this->node && !is_outdated_record;
    const bool is_free =
        this->end == 0 || was_own || (this->newest.is_release && !is_outdated_record);
    const auto silence = this->timing.order_window + this->timing.margin;
    state::milliseconds wait = stagger;
    if (was_own)
        wait = state::milliseconds(0);
    else if (!is_free)
        wait += silence;
    return now - this->end_known_at >= wait;
}

void store_lease::on_sending(state::time_point now)
{
    this->sending_at = now;
}

void store_lease::on_append_response(state::time_point now, const lease_append& append,
                                     bool is_appended, std::uint64_t new_end)
{
    if (!is_appended)
    {
        // Another process appended first, or an earlier append without a response
        // succeeded.
        this->is_holding = false;
        this->read_needed = true;
        // This append renewed nothing.
        this->sending_at = this->renewed_at;
        return;
    }
    const bool is_claim = append.record.epoch > this->newest.epoch;
    const bool follows_other = this->may_follow_other(now);
    this->newest = append.record;
    this->end = new_end;
    this->end_known_at = now;
    this->is_holding = !append.record.is_release;
    this->renewed_at = this->sending_at;
    if (is_claim)
        this->order_from = follows_other ? now + this->timing.separation : now;
    this->continues_until = {};
}

void store_lease::on_append_unknown(state::time_point now)
{
    this->read_needed = true;
    this->last_failure = now;
}

void store_lease::on_read_failed(state::time_point now)
{
    this->last_failure = now;
}

void store_lease::on_fenced()
{
    this->is_holding = false;
    this->read_needed = true;
}

bool store_lease::may_issue_orders(state::time_point now) const
{
    if (!this->is_holding || now < this->order_from)
        return false;
    if (now - this->renewed_at < this->timing.order_window)
        return true;
    return this->timing.engines_check_tokens &&
           now - this->last_failure < this->timing.attempt_lifetime;
}

} // namespace pomelorouter::coordination
