#pragma once

#include "app/node/control_component.hpp"
#include "app/node/control_loop.hpp"
#include "app/node/platform_client.hpp"
#include "app/node/settings_component.hpp"
#include "coordination/claim_batcher.hpp"
#include "coordination/idempotency.hpp"
#include "coordination/replicated_claims.hpp"
#include "state/counters.hpp"
#include "state/event_log.hpp"
#include "transport/timer_service.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace pomelorouter::app
{

/// Result of a claim.
struct claim_reply
{
    coordination::claim_answer answer = coordination::claim_answer::log_unknown;
    /// For `held`.
    std::optional<coordination::claim_state> held;
    /// For `refused`.
    std::optional<state::error> failure;
};

/// Receives the result of a claim. Called on the control thread.
using claim_callback = std::function<void(const claim_reply&)>;

/// Claims caller-chosen idempotency keys in the log on behalf of the serving thread and
/// records the outcomes of their requests.
class claims_component : public control_component
{
public:
    using wall_clock = std::function<std::int64_t()>;

    claims_component(const node_identity& identity, control_loop& loop,
                     platform_port& platform, transport::timer_service& timers,
                     boost::asio::any_io_executor executor, wall_clock wall_s,
                     state::event_log& events, state::counter_registry& counters);

    /// Starts reading the claims stream.
    void start();
    /// Claims a key; `done` is called once, unless the claim is withdrawn first.
    void claim(const std::string& key, const std::string& request, claim_callback done);
    /// Abandons the claim of a request that was not run. If the claim is in the log
    /// already, or appears in it later, it is released.
    void withdraw(const std::string& key);
    /// Records how the request of a granted claim ended.
    void record(protocol::key_outcome outcome);
    const coordination::replicated_claims& fold() const { return this->state_fold; }

    void on_page(const stream_page& event) override;
    void on_truncated(const stream_truncated& event) override;
    void on_unavailable(const stream_unavailable& event) override;
    void on_tick(state::time_point now) override;
    void contribute(state::node_view& /*view*/) override {}

private:
    struct pending_claim
    {
        std::string request;
        claim_callback done;
        /// Whether the request was abandoned while its claim was being appended.
        bool abandoned = false;
    };

    void apply(const transport::log_record& record);
    void send_due_batch();
    void append(const coordination::outgoing_batch& batch);
    void on_appended(std::uint64_t sequence, const append_result& result);
    void resolve_batch();
    void resolve_claim(const protocol::key_claim& claim);
    void release(const std::string& key);
    void refuse(const std::string& key, const state::error& failure);
    void refuse_waiting();
    bool is_log_unresponsive(state::time_point now) const;
    bool is_ours(const coordination::claim_state& item) const;
    void read_settings();
    void write_snapshot();
    std::size_t rank() const;

    const node_identity& identity;
    control_loop& loop;
    platform_port& platform;
    transport::timer_service& timers;
    boost::asio::any_io_executor executor;
    wall_clock wall_s;
    state::event_log& events;
    state::counter& skipped_records;
    state::counter& claims_won;
    state::counter& claims_lost;
    state::counter& claims_refused;
    state::counter& snapshots_too_large;
    coordination::replicated_claims state_fold;
    coordination::claim_batcher batcher;
    std::map<std::string, pending_claim> pending;
    /// Keys whose release has not been read back from the log yet.
    std::set<std::string> releasing;
    /// Offset of the batch in flight, once the log has acknowledged its append.
    std::optional<std::uint64_t> answered_offset;
    std::unique_ptr<transport::timer_subscription> batch_timer;
    bool stream_available = true;
    bool snapshot_in_flight = false;
    std::int64_t lifetime_s;
    std::int64_t snapshot_records;
};

} // namespace pomelorouter::app
