#pragma once

#include "coordination/backend_directory.hpp"
#include "coordination/backend_limits.hpp"
#include "coordination/backend_loads.hpp"
#include "coordination/engine_speed.hpp"
#include "coordination/prompt_cache.hpp"
#include "coordination/zone_balance.hpp"
#include "state/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::coordination
{

/// Requirements of a request for a backend server.
struct backend_demand
{
    std::string service;
    /// Empty for plain services.
    std::string model;
    std::string adapter;
    /// Version of the software that began the stream, which no other can continue; none
    /// for a new request.
    std::optional<std::string> software;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::vector<prompt_part> parts;
    /// Target time to first byte that the operator configured.
    double target_ms = 1000.0;
    /// Target of the longest pause of a stream; 0 for no target.
    double target_gap_ms = 0.0;
    /// Requests that each engine of the service runs at once.
    int engine_slots = 1;
    /// Memory of each engine of the service, in tokens; 0 if unknown.
    std::int64_t engine_tokens = 0;
    /// When the caller stops waiting; the default if unknown.
    state::time_point deadline{};
    /// The request was sent before, so it is sent again even if it may end too late.
    bool is_retry = false;
    /// Whether requests of other routes to the service are more urgent.
    bool yields = false;
    /// Random number in [0, 1): requests below the share of `zone_balance` may leave the
    /// availability zone without regard to the price.
    double zone_draw = 0.5;

    /// Returns a key for the pair of model and adapter.
    std::string weights() const;
    /// Tokens that the request occupies in the memory of an engine until it ends.
    std::uint32_t memory_tokens() const;
};

/// Why no backend server was chosen.
enum class choice_failure
{
    none,
    /// The service has no backend server that accepts new requests.
    no_backend,
    /// No backend server of the service has the model loaded.
    model_missing,
    /// Some have the model loaded, but none has the adapter.
    adapter_missing,
    /// The request was already sent to every suitable backend server.
    all_tried,
    /// All suitable backend servers have more queued work than the request can wait for,
    /// or no memory for it.
    overloaded,
    /// All suitable backend servers have asked for a pause.
    paused,
    /// All suitable backend servers have asked for a pause or have a limit for which this
    /// gateway has no permit.
    limited,
    /// A part of the prompt is quarantined, since it crashes backend servers.
    quarantined,
    /// This process stopped before a backend server was chosen.
    stopping,
    /// No backend server of the service has the software version that began the stream.
    software_missing,
};

std::string_view to_string(choice_failure failure);

struct backend_choice
{
    known_backend_ptr backend;
    choice_failure failure = choice_failure::none;
    /// Estimated time to first byte.
    double expected_ms = 0.0;
    /// Estimated time to first byte on the same backend server when idle.
    double idle_ms = 0.0;
    /// Part of `expected_ms` in which the backend server works on other prompts or has no
    /// free slot.
    double queue_ms = 0.0;
    /// Estimated time to first byte if the backend server is as fast as others of its
    /// service.
    double usual_ms = 0.0;
    /// Estimated time from the first byte of a stream to its end.
    double stream_ms = 0.0;
    std::uint32_t uncached_tokens = 0;
    /// Prompt tokens of calls that wait for their first byte there.
    double waiting_tokens = 0.0;
    /// For `choice_failure::overloaded`: the request needs more memory than any engine
    /// has, so waiting does not help.
    bool is_too_large = false;
    /// For `choice_failure::overloaded`: the running requests occupy the memory of all
    /// engines, so waiting helps.
    bool is_memory_full = false;
    /// For `choice_failure::overloaded`: more prompts would have streams cut at their
    /// deadline on all engines, so waiting helps.
    bool has_behind_streams = false;
    std::size_t candidates = 0;
    /// For `choice_failure::paused` and `limited`: earliest time at which a backend
    /// server may accept the request.
    state::time_point available_at{};
    /// Suitable backend servers, by id and incarnation, for which a permit is missing.
    std::vector<std::string> without_permit;
};

/// Parts of the cost of a backend server besides the expected wait, as time to first
/// byte.
struct extra_costs
{
    double overdue_ms = 0.0;
    double failure_ms = 0.0;
    double refusal_ms = 0.0;
    double zone_ms = 0.0;

    double sum() const
    {
        return this->overdue_ms + this->failure_ms + this->refusal_ms + this->zone_ms;
    }
};

/// Whether a backend server of the service can take a request, or why not.
enum class candidate_state
{
    usable,
    leaving,
    /// Its software version did not begin the stream.
    other_software,
    model_missing,
    adapter_missing,
    already_tried,
    /// Its limit leaves no permit for this gateway.
    limited,
    paused,
    memory_full,
    /// More prompts would have streams that run there cut at their deadline.
    streams_behind,
    /// The response is not expected to end before the deadline.
    too_late,
};

std::string_view to_string(candidate_state state);

/// What a choice was based on, for one backend server of the service.
struct candidate_terms
{
    std::string backend;
    std::string zone;
    candidate_state state = candidate_state::usable;
    /// When it may accept the request; set for `limited` and `paused`.
    std::optional<state::time_point> available_at;
    /// The following are set for `usable` and `too_late`. `cost_ms` contains `extra`.
    double cost_ms = 0.0;
    extra_costs extra;
    double expected_ms = 0.0;
    double idle_ms = 0.0;
    double queue_ms = 0.0;
    double stream_ms = 0.0;
    std::uint32_t uncached_tokens = 0;
};

/// Parameters of the latency estimates and of the cost function.
struct speed_model
{
    /// Speed of engines before the first call to a service.
    engine_pace engines;
    /// Time that each running request of an engine adds to the time to first byte.
    double running_request_ms = 1.0;
    /// Mean time that a plain service takes for a request.
    double plain_service_ms = 20.0;
    /// Round trip to another availability zone.
    double zone_hop_ms = 3.0;
    /// Cost of a failed call, expressed as time to first byte.
    double failure_cost_ms = 600.0;
    /// Extra cost of a backend server that has just refused a call.
    double refusal_cost_ms = 400.0;
    /// Age of the loads in a report when it arrives: two aggregators pass them on.
    double report_age_ms = 300.0;
};

/// Chooses the backend server with the lowest cost, which is mainly the expected time to
/// first byte.
class backend_chooser
{
public:
    /// `zone_cost_ms_per_mb` is the waiting time that avoiding a megabyte of traffic
    /// between availability zones is worth.
    backend_chooser(std::string own_zone, const speed_model& speed,
                    double zone_cost_ms_per_mb = zone_prices{}.ms_per_mb);

    /// `tried` holds the ids of backend servers that the request was already sent to.
    /// `draw` is a random number in [0, 1) that decides among backend servers of similar
    /// cost. `terms` receives what the choice was based on, unless it is null.
    backend_choice choose(state::time_point now, const backend_directory& directory,
                          const backend_loads& loads, const backend_limits& limits,
                          const backend_demand& demand,
                          const std::set<std::string>& tried, double draw,
                          std::vector<candidate_terms>* terms = nullptr) const;
    /// Records that the request is sent to `backend`, which caches its prompt.
    void on_sent(const known_backend& backend, const backend_demand& demand,
                 std::int64_t cache_tokens);
    /// Drops the prompt caches of processes that are no longer in `directory`.
    void retain(const backend_directory& directory);

    engine_speed& speeds() { return this->learned; }
    const engine_speed& speeds() const { return this->learned; }
    zone_balance& zones() { return this->balance; }
    const zone_balance& zones() const { return this->balance; }

    static std::string process_key(const state::backend_entry& entry);

private:
    /// A backend server that the request may be sent to, and what that would cost.
    struct option
    {
        const known_backend_ptr* backend = nullptr;
        double cost = 0.0;
        double expected_ms = 0.0;
        double idle_ms = 0.0;
        double queue_ms = 0.0;
        double usual_ms = 0.0;
        double stream_ms = 0.0;
        std::uint32_t uncached_tokens = 0;
        double waiting_tokens = 0.0;
        /// Increase of the cost by the prompts that other gateways have sent since their
        /// last reports.
        double unseen_cost = 0.0;
        bool ends_in_time = true;
    };

    /// What is the same for all backend servers in one choice.
    struct request_context
    {
        state::time_point now{};
        const backend_demand& demand;
        std::string weights;
        engine_pace pace;
        /// Age of the loads that other gateways reported.
        double report_age_s = 0.0;
    };

    option estimate(const request_context& context, const known_backend_ptr& backend,
                    const load_summary& load) const;
    extra_costs extra_costs_of(const request_context& context,
                               const known_backend& backend, const load_summary& load,
                               double expected_ms) const;
    candidate_terms describe(const request_context& context, const option& item,
                             const load_summary& load) const;
    double plain_cost(const known_backend& backend, const load_summary& load,
                      option& result) const;
    double engine_cost(const request_context& context, const known_backend& backend,
                       const load_summary& load, option& result) const;
    static const option& pick(const std::vector<option>& options, double draw);

    std::string zone;
    speed_model speed;
    engine_speed learned;
    zone_balance balance;
    std::map<std::string, prompt_cache, std::less<>> caches;
};

} // namespace pomelorouter::coordination
