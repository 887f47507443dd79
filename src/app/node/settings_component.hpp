#pragma once

#include "app/node/control_component.hpp"
#include "app/node/control_loop.hpp"
#include "app/node/platform_client.hpp"
#include "coordination/replicated_settings.hpp"
#include "coordination/snapshot_schedule.hpp"
#include "state/counters.hpp"
#include "state/event_log.hpp"

#include <boost/json/value.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace pomelorouter::app
{

/// Identifies this process in log records and peer messages.
struct node_identity
{
    std::string id;
    std::uint64_t incarnation = 0;
    std::string zone;
    std::string address;
    std::string peer_address;
};

/// Result of a settings change: a verdict, or the failure because of which it is unknown.
struct settings_outcome
{
    std::optional<protocol::proposal_result> result;
    std::optional<state::error> failure;
};

/// A proposal that was read from the log, and the verdict on it.
struct decided_proposal
{
    std::uint64_t offset = 0;
    std::uint64_t base_version = 0;
    std::string author;
    protocol::proposal_result result;
};

using settings_callback = std::function<void(const settings_outcome&)>;

/// Maintains the current settings from the log and proposes changes to them.
class settings_component : public control_component
{
public:
    settings_component(const node_identity& identity, control_loop& loop,
                       platform_port& platform, state::event_log& events,
                       state::counter_registry& counters);

    /// Starts reading the settings stream.
    void start();
    /// Proposes a settings tree; `done` is called once, on the control thread, when the
    /// verdict is known or the proposal has failed or timed out.
    void propose(std::uint64_t base_version, std::string author, boost::json::value tree,
                 settings_callback done);
    /// Adopts a peer's snapshot if it is newer than this node's state. Returns whether it
    /// did.
    bool adopt(const protocol::settings_snapshot& snapshot, const std::string& peer);
    /// Sets the function that returns this node's rank among the writers of snapshots.
    void set_rank_source(std::function<std::size_t()> source);
    const coordination::replicated_settings& fold() const { return this->state_fold; }
    /// The most recent proposals in log order, without those that the log had truncated
    /// when this node started.
    const std::deque<decided_proposal>& history() const { return this->decided; }

    void on_page(const stream_page& event) override;
    void on_truncated(const stream_truncated& event) override;
    void on_tick(state::time_point now) override;
    void contribute(state::node_view& view) override;

private:
    struct waiting_proposal
    {
        settings_callback done;
        state::time_point deadline;
    };

    void apply(const transport::log_record& record);
    void track_snapshot(const transport::log_record& record);
    void write_snapshot_if_due(state::time_point now);
    void finish(const protocol::proposal_result& result);
    void add_to_history(const transport::log_record& record,
                        const protocol::proposal_result& result);
    void on_appended(const std::string& id, const append_result& result);

    const node_identity& identity;
    control_loop& loop;
    platform_port& platform;
    state::event_log& events;
    state::counter& skipped_records;
    coordination::replicated_settings state_fold;
    coordination::snapshot_schedule snapshots;
    std::function<std::size_t()> rank_source;
    std::map<std::string, waiting_proposal> waiting;
    std::deque<decided_proposal> decided;
    std::uint64_t next_sequence = 0;
};

} // namespace pomelorouter::app
