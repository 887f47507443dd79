#pragma once

#include "coordination/backend_directory.hpp"
#include "coordination/backend_limits.hpp"
#include "coordination/backend_loads.hpp"
#include "coordination/prompt_cache.hpp"
#include "coordination/zone_balance.hpp"
#include "state/clock.hpp"

#include <cstdint>
#include <map>
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
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::vector<prompt_part> parts;
    /// Target time to first byte that the operator configured.
    double target_ms = 1000.0;
    /// Random number in [0, 1): requests below the share of `zone_balance` may leave the
    /// availability zone without regard to the price.
    double zone_draw = 0.5;

    /// Returns a key for the pair of model and adapter.
    std::string weights() const;
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
    /// All suitable backend servers have more queued work than the request can wait for.
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
    std::uint32_t uncached_tokens = 0;
    std::size_t candidates = 0;
    /// For `choice_failure::paused` and `limited`: earliest time at which a backend
    /// server may accept the request.
    state::time_point available_at{};
    /// Suitable backend servers, by id and incarnation, for which a permit is missing.
    std::vector<std::string> without_permit;
};

/// Parameters of the latency estimates and of the cost function.
struct speed_model
{
    /// Prompt tokens that an engine processes per millisecond.
    double prompt_tokens_per_ms = 20.0;
    /// Duration of the first decoding step of an engine.
    double first_step_ms = 25.0;
    /// Mean time that a plain service takes for a request.
    double plain_service_ms = 20.0;
    /// Round trip to another availability zone.
    double zone_hop_ms = 3.0;
    /// Cost of a failed call, expressed as time to first byte.
    double failure_cost_ms = 600.0;
    /// Extra cost of a backend server that has just refused a call.
    double refusal_cost_ms = 400.0;
    /// Cost of one prompt of 100 ms for each long stream on the same engine, since the
    /// prompt causes a long gap between tokens. Also the cost for a long stream of each
    /// such prompt per second.
    double interference_cost_ms = 12.0;
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
    /// `draw` is a random number in [0, 1) that breaks ties.
    backend_choice choose(state::time_point now, const backend_directory& directory,
                          const backend_loads& loads, const backend_limits& limits,
                          const backend_demand& demand,
                          const std::set<std::string>& tried, double draw) const;
    /// Records that the request is sent to `backend`, which caches its prompt.
    void on_sent(const known_backend& backend, const backend_demand& demand,
                 std::int64_t cache_tokens);
    /// Drops the prompt caches of processes that are no longer in `directory`.
    void retain(const backend_directory& directory);

    zone_balance& zones() { return this->balance; }
    const zone_balance& zones() const { return this->balance; }

    static std::string process_key(const state::backend_entry& entry);

private:
    double estimate(state::time_point now, const known_backend& backend,
                    const backend_loads& loads, const backend_demand& demand,
                    backend_choice& result) const;

    double interference_cost(const load_summary& load, const backend_demand& demand,
                             std::uint32_t uncached_tokens) const;

    std::string zone;
    speed_model speed;
    zone_balance balance;
    std::map<std::string, prompt_cache, std::less<>> caches;
};

} // namespace pomelorouter::coordination
