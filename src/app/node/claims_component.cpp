#include "app/node/claims_component.hpp"

#include "state/log.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pomelorouter::app
{

using coordination::claim_answer;
using state::attribute;
using state::error;
using state::error_code;

namespace
{

constexpr const char* stream_name = "claims";
// If the response to an append is lost, the next long poll (1 s) returns the record. A
// batch that takes longer than that means that the log is down or slow.
constexpr state::milliseconds append_stall_timeout{1500};
constexpr state::milliseconds batch_retry_period{10};
// Below the record limit of the log, which is 1 MiB.
constexpr std::size_t max_snapshot_bytes = 1000 * 1000;
// Each rank delays the snapshot by a tenth of the interval, which is longer than the next
// node needs to read the snapshot of the node before it.
constexpr std::uint64_t snapshot_delay_percent_per_rank = 10;

claim_reply make_reply(claim_answer answer)
{
    claim_reply reply;
    reply.answer = answer;
    return reply;
}

} // namespace

claims_component::claims_component(const node_identity& node, control_loop& control,
                                   platform_port& platform_requests,
                                   transport::timer_service& timer_service,
                                   boost::asio::any_io_executor control_executor,
                                   wall_clock wall_clock_s, state::event_log& event_log,
                                   state::counter_registry& counters)
    : identity(node),
      loop(control),
      platform(platform_requests),
      timers(timer_service),
      executor(std::move(control_executor)),
      wall_s(std::move(wall_clock_s)),
      events(event_log),
      skipped_records(counters.count("log_skipped_records_total",
                                     "records that could not be read and were skipped")),
      claims_won(counters.count("claims_won_total", "keys claimed by this node")),
      claims_lost(counters.count("claims_lost_total",
                                 "claims that another node's claim preceded")),
      claims_refused(
          counters.count("claims_refused_total", "claims that were certainly not made")),
      snapshots_too_large(counters.count("claims_snapshots_too_large_total",
                                         "snapshots too large for one record"))
{
    const state::attribute_values defaults;
    this->lifetime_s = defaults.get(attribute::key_lifetime_s);
    this->snapshot_records = defaults.get(attribute::snapshot_records);
    this->read_settings();
}

void claims_component::start()
{
    this->platform.follow(stream_name, 0);
}

void claims_component::claim(const std::string& key, const std::string& request,
                             claim_callback done)
{
    if (this->releasing.contains(key))
    {
        claim_reply reply = make_reply(claim_answer::refused);
        reply.failure = error(error_code::key_in_use, "Idempotency-Key",
                              "the release of the key is not yet in the log");
        done(reply);
        return;
    }
    const auto waiting = this->pending.find(key);
    if (waiting != this->pending.end())
    {
        // A new request with the same contents takes over the pending claim of a request
        // that was abandoned.
        if (waiting->second.abandoned && waiting->second.request == request)
        {
            waiting->second.abandoned = false;
            waiting->second.done = std::move(done);
            return;
        }
        claim_reply reply = make_reply(claim_answer::refused);
        reply.failure = error(error_code::key_in_use, "Idempotency-Key",
                              "an earlier claim of the key is still pending");
        done(reply);
        return;
    }
    if (!this->state_fold.is_known())
    {
        done(make_reply(claim_answer::log_unknown));
        return;
    }
    const std::int64_t now_s = this->wall_s();
    if (const auto* held = this->state_fold.find(key, now_s))
    {
        claim_reply reply = make_reply(claim_answer::held);
        reply.held = *held;
        done(reply);
        return;
    }
    this->pending[key] = {request, std::move(done)};
    if (this->is_log_unresponsive(this->timers.now()))
    {
        this->refuse(
            key, error(error_code::log_unavailable, "log", "the log does not respond"));
        return;
    }
    if (!this->batcher.add_claim({key, request, now_s, this->lifetime_s}))
    {
        this->refuse(key, error(error_code::overloaded, "claims",
                                "too many claims are waiting for the log"));
        return;
    }
    this->send_due_batch();
}

void claims_component::withdraw(const std::string& key)
{
    const auto waiting = this->pending.find(key);
    if (waiting != this->pending.end())
    {
        if (this->batcher.remove_claim(key))
            this->pending.erase(waiting);
        else
            waiting->second.abandoned = true;
        return;
    }
    const auto* held = this->state_fold.find(key, this->wall_s());
    if (held != nullptr && this->is_ours(*held) && !held->outcome)
        this->release(key);
}

void claims_component::record(protocol::key_outcome outcome)
{
    if (outcome.result == protocol::outcome_result::not_run)
    {
        this->release(outcome.key);
        return;
    }
    this->batcher.add_outcome(std::move(outcome), this->timers.now());
    this->send_due_batch();
}

void claims_component::on_page(const stream_page& event)
{
    if (event.stream != stream_name)
        return;
    this->stream_available = true;
    // The first page shows whether the stream is read from its beginning.
    if (!this->state_fold.is_known() && this->state_fold.next_offset() == 0)
    {
        const bool is_first = event.page.records.empty()
                                  ? event.page.next == 0
                                  : event.page.records.front().offset == 0;
        if (is_first)
            this->state_fold.begin_at(0);
    }
    for (const transport::log_record& record : event.page.records)
        this->apply(record);
    this->state_fold.expire_missed_claims(this->wall_s());
    this->resolve_batch();
    this->write_snapshot();
    this->send_due_batch();
}

void claims_component::on_truncated(const stream_truncated& event)
{
    if (event.stream == stream_name)
        this->state_fold.begin_at(event.first);
}

void claims_component::on_unavailable(const stream_unavailable& event)
{
    if (event.stream == stream_name)
        this->stream_available = false;
}

void claims_component::on_tick(state::time_point now)
{
    this->read_settings();
    this->state_fold.expire_missed_claims(this->wall_s());
    if (this->is_log_unresponsive(now))
        this->refuse_waiting();
    this->send_due_batch();
}

void claims_component::apply(const transport::log_record& record)
{
    try
    {
        this->state_fold.apply(record.offset, record.data);
    }
    catch (const error& failure)
    {
        this->skipped_records.add();
        state::log_event(state::log_level::warning, "record_skipped")
            .field("stream", stream_name)
            .field("offset", record.offset)
            .field("error", failure.what());
    }
}

void claims_component::send_due_batch()
{
    if (const auto* batch = this->batcher.next(this->timers.now()))
        this->append(*batch);
    const bool has_work =
        this->batcher.waiting_claims() > 0 || this->batcher.in_flight() != nullptr;
    if (!has_work || this->batch_timer)
        return;
    this->batch_timer = this->timers.after(batch_retry_period, this->executor,
                                           [this](state::time_point)
                                           {
                                               this->batch_timer.reset();
                                               this->send_due_batch();
                                           });
}

void claims_component::append(const coordination::outgoing_batch& batch)
{
    protocol::claim_batch record;
    record.header.writer = this->identity.id;
    record.header.incarnation = this->identity.incarnation;
    record.header.sequence = batch.sequence;
    record.time_s = this->wall_s();
    record.claims = batch.claims;
    record.outcomes = batch.outcomes;
    this->platform.append(stream_name, protocol::format_claim_record(record),
                          [this, sequence = batch.sequence](const append_result& result)
                          { this->on_appended(sequence, result); });
}

void claims_component::on_appended(std::uint64_t sequence, const append_result& result)
{
    const auto* batch = this->batcher.in_flight();
    if (batch == nullptr || batch->sequence != sequence)
        return;
    if (result.offset)
    {
        this->answered_offset = result.offset;
        this->batcher.on_append_confirmed(sequence);
        this->resolve_batch();
        return;
    }
    const state::time_point now = this->timers.now();
    const error_code code =
        result.failure ? result.failure->code() : error_code::log_unavailable;
    if (code != error_code::rate_limited && code != error_code::connect_failed)
    {
        this->batcher.on_append_unknown(sequence, now);
        return;
    }
    for (const protocol::key_claim& claim :
         this->batcher.on_append_rejected(sequence, now))
    {
        this->refuse(claim.key,
                     error(code == error_code::rate_limited ? error_code::rate_limited
                                                            : error_code::log_unavailable,
                           "log", "the log rejected the append of the claim"));
    }
}

void claims_component::resolve_batch()
{
    const auto* in_flight = this->batcher.in_flight();
    if (in_flight == nullptr || !this->state_fold.is_known())
        return;
    // Compares sequence numbers instead of records: after a truncation the batch may be
    // visible only through a snapshot.
    if (this->state_fold.last_sequence(this->identity.id, this->identity.incarnation) <
        in_flight->sequence)
    {
        // The log has the record, but every reader skipped it as unreadable, so it counts
        // as not appended.
        if (this->answered_offset &&
            *this->answered_offset < this->state_fold.next_offset())
        {
            this->answered_offset.reset();
            this->batcher.on_append_unknown(in_flight->sequence, this->timers.now());
        }
        return;
    }
    this->answered_offset.reset();
    const coordination::outgoing_batch batch = this->batcher.on_read_back();
    for (const protocol::key_outcome& outcome : batch.outcomes)
    {
        if (outcome.result == protocol::outcome_result::not_run)
            this->releasing.erase(outcome.key);
    }
    for (const protocol::key_claim& claim : batch.claims)
        this->resolve_claim(claim);
}

void claims_component::resolve_claim(const protocol::key_claim& claim)
{
    const auto* held = this->state_fold.find(claim.key, claim.time_s);
    const bool won = held != nullptr && this->is_ours(*held) && !held->outcome;
    (won ? this->claims_won : this->claims_lost).add();
    const auto entry = this->pending.extract(claim.key);
    if (entry.empty() || entry.mapped().abandoned)
    {
        if (won)
            this->release(claim.key);
        return;
    }
    claim_reply reply = make_reply(won ? claim_answer::granted : claim_answer::held);
    if (held != nullptr)
        reply.held = *held;
    else
    {
        // Another node's claim preceded this one and was released before this node read
        // the batch.
        reply.answer = claim_answer::refused;
        reply.failure = error(error_code::key_in_use, "Idempotency-Key",
                              "another node claimed the key first");
    }
    entry.mapped().done(reply);
}

void claims_component::release(const std::string& key)
{
    if (!this->releasing.insert(key).second)
        return;
    protocol::key_outcome outcome;
    outcome.key = key;
    outcome.result = protocol::outcome_result::not_run;
    this->batcher.add_outcome(std::move(outcome), this->timers.now());
    this->send_due_batch();
}

void claims_component::refuse(const std::string& key, const error& failure)
{
    const auto entry = this->pending.extract(key);
    this->claims_refused.add();
    if (entry.empty() || entry.mapped().abandoned)
        return;
    claim_reply reply = make_reply(claim_answer::refused);
    reply.failure = failure;
    entry.mapped().done(reply);
}

void claims_component::refuse_waiting()
{
    for (const protocol::key_claim& claim : this->batcher.take_waiting_claims())
    {
        this->refuse(claim.key, error(error_code::log_unavailable, "log",
                                      "the log does not respond"));
    }
    // Refuses the requests of the batch in flight at once too. If their claims appear in
    // the log later, they are released.
    claim_reply reply = make_reply(claim_answer::refused);
    reply.failure = error(error_code::log_unavailable, "log", "the log does not respond");
    for (auto& [key, waiting] : this->pending)
    {
        if (waiting.abandoned)
            continue;
        waiting.abandoned = true;
        this->claims_refused.add();
        std::exchange(waiting.done, nullptr)(reply);
    }
}

bool claims_component::is_log_unresponsive(state::time_point now) const
{
    if (!this->stream_available)
        return true;
    return this->batcher.in_flight() != nullptr &&
           now >= this->batcher.sent_at() + append_stall_timeout;
}

bool claims_component::is_ours(const coordination::claim_state& item) const
{
    return item.writer == this->identity.id &&
           item.incarnation == this->identity.incarnation;
}

void claims_component::read_settings()
{
    const auto view = this->loop.views().load();
    const state::attribute_values defaults;
    const state::attribute_values& attributes =
        view->current_settings ? view->current_settings->attributes : defaults;
    this->lifetime_s = attributes.get(attribute::key_lifetime_s);
    this->snapshot_records = attributes.get(attribute::snapshot_records);
    const auto appends =
        static_cast<double>(attributes.get(attribute::claim_appends_per_s));
    this->batcher.set_rate(
        appends / static_cast<double>(std::max<std::size_t>(view->nodes.size(), 1)));
}

void claims_component::write_snapshot()
{
    if (this->snapshot_in_flight || !this->state_fold.is_known())
        return;
    const auto interval = static_cast<std::uint64_t>(this->snapshot_records);
    if (this->state_fold.records_since_snapshot() <
        interval + interval * snapshot_delay_percent_per_rank * this->rank() / 100)
        return;
    protocol::claims_snapshot snapshot = this->state_fold.snapshot();
    snapshot.header.writer = this->identity.id;
    snapshot.header.incarnation = this->identity.incarnation;
    std::string data = protocol::format_claim_record(snapshot);
    if (data.size() > max_snapshot_bytes)
    {
        this->snapshots_too_large.add();
        return;
    }
    this->snapshot_in_flight = true;
    this->events.record("claims_snapshot", {{"upto", std::to_string(snapshot.upto)}});
    this->platform.append(stream_name, std::move(data),
                          [this](const append_result&)
                          { this->snapshot_in_flight = false; });
}

std::size_t claims_component::rank() const
{
    // Rendezvous hashing: all nodes with the same node list compute the same order, so
    // that normally only one of them writes the snapshot.
    const auto weight = [this](const std::string& node)
    {
        return XXH3_64bits_withSeed(node.data(), node.size(),
                                    this->state_fold.next_offset() /
                                        static_cast<std::uint64_t>(std::max<std::int64_t>(
                                            this->snapshot_records * 4, 1)));
    };
    const std::uint64_t own = weight(this->identity.id);
    const auto view = this->loop.views().load();
    return static_cast<std::size_t>(std::count_if(view->nodes.begin(), view->nodes.end(),
                                                  [&](const state::node_address& node)
                                                  { return weight(node.id) > own; }));
}

} // namespace pomelorouter::app
