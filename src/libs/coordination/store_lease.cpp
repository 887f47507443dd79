#include "coordination/store_lease.hpp"

#include <utility>

namespace pomelorouter::coordination
{

namespace
{

/// Delay between the claims of candidates of consecutive rank.
constexpr state::milliseconds rank_step{300};

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
                        record.incarnation == this->incarnation && !record.is_release;
    // The append got no response but succeeded; the renewal counts from its send time.
    if (is_own && this->sending_at > this->renewed_at)
        this->renewed_at = this->sending_at;
    if (is_own && record.epoch > this->newest.epoch)
    {
        const bool had_holder = this->end > 0 && this->newest.holder != this->node;
        this->order_from = had_holder ? now + this->timing.separation : now;
    }
    this->is_holding = is_own;
    this->newest = record;
    this->end = new_end;
    this->end_known_at = now;
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
    if (this->is_holding)
    {
        append.record.is_release = !may_hold;
        return !may_hold || now - this->renewed_at >= this->timing.renew;
    }
    if (!may_hold)
        return false;
    ++append.record.epoch;
    const auto stagger = rank_step * static_cast<int>(rank);
    // The last holder was an earlier process of this instance, which has ended.
    const bool was_own = this->newest.holder == this->node;
    const bool is_free = this->end == 0 || this->newest.is_release || was_own;
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
        return;
    }
    const bool is_claim = append.record.epoch > this->newest.epoch;
    const bool had_holder = this->end > 0 && this->newest.holder != this->node;
    this->newest = append.record;
    this->end = new_end;
    this->end_known_at = now;
    this->is_holding = !append.record.is_release;
    this->renewed_at = this->sending_at;
    if (is_claim)
        this->order_from = had_holder ? now + this->timing.separation : now;
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
