#pragma once

#include "coordination/prompt_cache.hpp"
#include "coordination/report_source.hpp"
#include "coordination/stream_progress.hpp"
#include "state/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::coordination
{

/// Output tokens from which on a stream counts as long: it runs for seconds, and prompts
/// that its engine processes meanwhile delay its tokens.
inline constexpr std::uint32_t long_stream_tokens = 60;

/// Upper bound on the pause that a backend server may ask for.
inline constexpr state::milliseconds max_backend_pause{30000};

/// Size of one call to a backend server.
struct call_work
{
    /// Prompt tokens that the engine has to process; 0 for plain services.
    std::uint32_t prompt_tokens = 0;
    /// Maximum number of tokens that the engine may generate.
    std::uint32_t output_tokens = 0;
    /// Expected time to first byte on an idle backend server.
    double expected_ms = 0.0;
    /// Tokens that the call occupies in the memory of the engine; 0 for plain services.
    std::uint32_t memory_tokens = 0;
    /// When the caller stops waiting; the default if unknown.
    state::time_point deadline{};
    /// No request of another route to the service is more urgent.
    bool is_urgent = true;
};

/// How a call ended.
enum class call_result
{
    answered,
    /// The backend server refused it without running it.
    refused,
    /// No connection, a malformed answer, a timeout, or an error of the backend server.
    failed,
    /// This process ended the call for a reason unrelated to the backend server.
    cancelled,
};

/// Load that other gateways put on one backend server.
struct peer_load
{
    std::uint32_t active = 0;
    std::uint32_t waiting_tokens = 0;
    std::uint32_t long_streams = 0;
    double prompt_rate = 0.0;
    std::uint32_t memory_tokens = 0;
    /// Streams that are expected to be cut at their deadline, and the most urgent of
    /// them.
    std::uint32_t behind_streams = 0;
    std::uint32_t urgent_behind_streams = 0;

    peer_load& operator+=(const peer_load& more);
    /// Subtracts `part` and clamps each field at 0.
    peer_load& operator-=(const peer_load& part);
};

/// Load of one backend server from the calls of this process and the reports of peers.
struct load_summary
{
    std::uint32_t active = 0;
    std::uint32_t peer_active = 0;
    /// Prompt tokens of calls that are waiting for their first byte.
    double waiting_tokens = 0.0;
    /// Streams that may generate at least `long_stream_tokens`.
    std::uint32_t long_streams = 0;
    /// Prompt tokens sent per second, averaged over the last seconds.
    double prompt_rate = 0.0;
    /// The part of `prompt_rate` that other gateways reported.
    double peer_prompt_rate = 0.0;
    /// Tokens that running calls occupy in the memory of the engine.
    std::uint64_t memory_tokens = 0;
    /// Streams that are expected to be cut at their deadline, and the most urgent of
    /// them.
    std::uint32_t behind_streams = 0;
    std::uint32_t urgent_behind_streams = 0;
    /// Longest time by which the first byte of a call is overdue.
    double overdue_ms = 0.0;
    /// Share of recent calls that failed, and mean ratio of actual to expected time to
    /// first byte.
    double failure_share = 0.0;
    double slow_ratio = 1.0;
    /// The backend server refused a call a short time ago.
    bool is_full = false;
};

/// Tracks calls in flight and their outcomes for each backend server. Used by the serving
/// loop only.
class backend_loads
{
public:
    using call_id = std::uint64_t;

    /// Records the start of a call. `backend` identifies one process by id and
    /// incarnation.
    call_id begin(state::time_point now, const std::string& backend,
                  const call_work& work);
    /// Records the arrival of the first byte of the answer.
    void on_first_byte(state::time_point now, call_id call);
    /// Records that the stream of a call has `events` events by now.
    void on_events(state::time_point now, call_id call, std::uint64_t events);
    void end(state::time_point now, call_id call, call_result result);
    /// Records that the backend server asked for no calls for `duration`, capped at
    /// `max_backend_pause`. A later answer without a pause does not end it early.
    void on_pause(state::time_point now, const std::string& backend,
                  state::milliseconds duration);

    using load_map = std::map<std::string, peer_load, std::less<>>;

    /// Replaces the loads that `peer` reported.
    void set_peer(state::time_point now, const report_source& peer, load_map loads);
    void forget_peer(const report_source& peer);
    /// Drops the reports of all peers after the set of reporting peers has changed.
    void forget_peers() { this->peers.clear(); }
    /// Loads of this gateway by backend server, for reports to peers.
    load_map own_loads(state::time_point now) const;
    /// Loads of this gateway and of the gateways in its availability zone.
    load_map zone_loads(state::time_point now) const;
    /// Loads of this gateway and of all reporting peers.
    load_map all_loads(state::time_point now) const;
    /// Returns the loads that `peer` reported, or null without a recent report.
    const load_map* loads_of(state::time_point now, const report_source& peer) const;

    load_summary summary(state::time_point now, std::string_view backend) const;
    /// End of the pause that the backend server asked for; in the past without a pause.
    state::time_point paused_until(std::string_view backend) const;
    /// Mean time since the reports of peers arrived; 0 without reports.
    double report_age_ms(state::time_point now) const;
    /// When the newest report of a peer arrived; the earliest time without reports.
    state::time_point reported_at() const;
    std::size_t active_calls() const { return this->calls.size(); }
    /// Drops the records of backend servers without recent calls.
    void forget_idle(state::time_point now);

private:
    struct call
    {
        std::string backend;
        state::time_point started{};
        call_work work;
        bool has_first_byte = false;
        stream_progress progress;
    };
    struct record
    {
        std::vector<call_id> active;
        double failure_share = 0.0;
        double slow_ratio = 1.0;
        /// Exponentially decaying count of prompt tokens sent, and when it was updated.
        double prompt_tokens = 0.0;
        state::time_point prompt_updated{};
        state::time_point full_until{};
        state::time_point paused_until{};
        state::time_point changed{};
    };
    struct peer_report
    {
        state::time_point received{};
        load_map loads;
    };

    std::map<std::string, record, std::less<>> records;
    std::map<call_id, call> calls;
    std::map<report_source, peer_report> peers;
    call_id last_call = 0;
};

} // namespace pomelorouter::coordination
