#include "app/node/settings_component.hpp"

#include "state/log.hpp"

#include <utility>
#include <vector>

namespace pomelorouter::app
{

using state::error;
using state::error_code;

namespace
{

constexpr const char* stream_name = "settings";
// Longer than an append with its timeout, so that a verdict is still read from the log if
// the response to the append was lost.
constexpr state::milliseconds verdict_timeout{5000};

// The number of changes in a day at the target size; entries do not contain the trees.
constexpr std::size_t max_history = 3000;

} // namespace

settings_component::settings_component(const node_identity& node, control_loop& control,
                                       platform_port& platform_requests,
                                       state::event_log& event_log,
                                       state::counter_registry& counters)
    : identity(node),
      loop(control),
      platform(platform_requests),
      events(event_log),
      skipped_records(counters.count("log_skipped_records_total",
                                     "records that could not be read and were skipped"))
{
}

void settings_component::start()
{
    this->platform.follow(stream_name, 0);
}

void settings_component::propose(std::uint64_t base_version, std::string author,
                                 boost::json::value tree, settings_callback done)
{
    protocol::settings_proposal proposal;
    proposal.header.writer = this->identity.id;
    proposal.header.incarnation = this->identity.incarnation;
    proposal.header.sequence = this->next_sequence++;
    proposal.id = this->identity.id + "." + std::to_string(this->identity.incarnation) +
                  "." + std::to_string(proposal.header.sequence);
    proposal.base_version = base_version;
    proposal.author = std::move(author);
    proposal.tree = std::move(tree);
    this->waiting.emplace(
        proposal.id, waiting_proposal{std::move(done), std::chrono::steady_clock::now() +
                                                           verdict_timeout});
    this->platform.append(stream_name, protocol::format_settings_record(proposal),
                          [this, id = proposal.id](const append_result& result)
                          { this->on_appended(id, result); });
}

bool settings_component::adopt(const protocol::settings_snapshot& snapshot,
                               const std::string& peer)
{
    if (!this->state_fold.adopt(snapshot))
        return false;
    this->events.record("settings_adopted",
                        {{"peer", peer}, {"version", std::to_string(snapshot.version)}});
    // Continues reading after the adopted state. If the log no longer has those records,
    // it reports a truncation.
    this->platform.follow(stream_name, this->state_fold.next_offset());
    this->loop.mark_changed();
    return true;
}

void settings_component::set_rank_source(std::function<std::size_t()> source)
{
    this->rank_source = std::move(source);
}

void settings_component::on_page(const stream_page& event)
{
    if (event.stream != stream_name)
        return;
    // The first page shows whether the stream is read from its beginning.
    if (!this->state_fold.is_known() && this->state_fold.next_offset() == 0)
    {
        const bool is_first = event.page.records.empty()
                                  ? event.page.next == 0
                                  : event.page.records.front().offset == 0;
        if (is_first)
            this->state_fold.begin_at(0);
        this->loop.mark_changed();
    }
    for (const transport::log_record& record : event.page.records)
        this->apply(record);
    this->snapshots.on_range(event.page.first, event.page.next);
}

void settings_component::on_truncated(const stream_truncated& event)
{
    if (event.stream != stream_name)
        return;
    this->state_fold.begin_at(event.first);
    this->loop.mark_changed();
}

void settings_component::on_tick(state::time_point now)
{
    this->write_snapshot_if_due(now);
    std::vector<std::string> expired;
    for (const auto& [id, proposal] : this->waiting)
    {
        if (now >= proposal.deadline)
            expired.push_back(id);
    }
    for (const std::string& id : expired)
    {
        const auto entry = this->waiting.extract(id);
        entry.mapped().done(
            {std::nullopt,
             error(error_code::outcome_unknown, id,
                   "no verdict before the timeout; read the settings to see "
                   "whether it was accepted")});
    }
}

void settings_component::contribute(state::node_view& view)
{
    view.settings_version = this->state_fold.version();
    view.settings_offset = this->state_fold.next_offset();
    view.current_settings = this->state_fold.resolved();
    view.ready = view.current_settings ? state::readiness::ready
                                       : state::readiness::settings_unknown;
}

void settings_component::apply(const transport::log_record& record)
{
    try
    {
        const auto result = this->state_fold.apply(record.offset, record.data);
        if (result)
        {
            this->add_to_history(record, *result);
            this->finish(*result);
        }
        this->track_snapshot(record);
    }
    catch (const error& failure)
    {
        this->skipped_records.add();
        state::log_event(state::log_level::warning, "record_skipped")
            .field("stream", stream_name)
            .field("offset", record.offset)
            .field("error", failure.what());
    }
    this->loop.mark_changed();
}

void settings_component::track_snapshot(const transport::log_record& record)
{
    // Most records are proposals, so only records that look like a snapshot are parsed a
    // second time.
    if (record.data.find("settings_snapshot") == std::string::npos)
        return;
    const auto parsed = protocol::parse_settings_record(record.data);
    if (const auto* snapshot = std::get_if<protocol::settings_snapshot>(&parsed))
        this->snapshots.on_snapshot(record.offset, snapshot->upto);
}

void settings_component::write_snapshot_if_due(state::time_point now)
{
    // A node that does not know the state of the stream up to its offset must not write a
    // snapshot.
    if (!this->state_fold.is_known() || this->state_fold.next_offset() == 0)
        return;
    const auto max_records = static_cast<std::uint64_t>(
        this->state_fold.resolved()->attributes.get(state::attribute::snapshot_records));
    const std::size_t rank = this->rank_source ? this->rank_source() : 0;
    if (!this->snapshots.take_due(now, max_records, rank))
        return;
    protocol::settings_snapshot snapshot = this->state_fold.snapshot();
    snapshot.header.writer = this->identity.id;
    snapshot.header.incarnation = this->identity.incarnation;
    snapshot.header.sequence = this->next_sequence++;
    this->events.record("settings_snapshot", {{"upto", std::to_string(snapshot.upto)}});
    this->platform.append(stream_name, protocol::format_settings_record(snapshot),
                          [](const append_result& /*result*/) {});
}

void settings_component::add_to_history(const transport::log_record& record,
                                        const protocol::proposal_result& result)
{
    const protocol::settings_record parsed = protocol::parse_settings_record(record.data);
    const auto* proposal = std::get_if<protocol::settings_proposal>(&parsed);
    if (proposal == nullptr)
        return;
    this->decided.push_back(
        {record.offset, proposal->base_version, proposal->author, result});
    if (this->decided.size() > max_history)
        this->decided.pop_front();
}

void settings_component::finish(const protocol::proposal_result& result)
{
    this->events.record("settings_verdict",
                        {{"id", result.id},
                         {"verdict", std::string(to_string(result.verdict))},
                         {"version", std::to_string(result.version)}});
    const auto entry = this->waiting.extract(result.id);
    if (!entry.empty())
        entry.mapped().done({result, std::nullopt});
}

void settings_component::on_appended(const std::string& id, const append_result& result)
{
    if (!result.failure)
        return;
    // The response to an append may be lost although the record is in the log. Only
    // failures that exclude this end the proposal immediately.
    const error_code code = result.failure->code();
    if (code != error_code::rate_limited && code != error_code::connect_failed)
        return;
    const auto entry = this->waiting.extract(id);
    if (!entry.empty())
        entry.mapped().done({std::nullopt, result.failure});
}

} // namespace pomelorouter::app
