#pragma once

#include "coordination/backend_health.hpp"
#include "coordination/local_load.hpp"
#include "state/clock.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace pomelorouter::coordination
{

/// Thresholds of the slow engine detector.
struct slow_engine_limits
{
    /// An engine is slow if it takes this many times the median of those serving.
    double gap_factor = 3.0;
    double first_token_factor = 4.0;
    /// Means below these times are no reason to eject an engine.
    state::milliseconds gap_floor{5};
    state::milliseconds first_token_floor{50};
    /// A single wait below these times may be noise of this node or of the network.
    state::milliseconds stalled_gap_floor{50};
    state::milliseconds stalled_first_token_floor{200};
    /// Measurements that an ejected engine needs to be healthy again.
    std::uint32_t recovery_samples = 3;
    /// Doubled after each probe that finds the engine slow, up to the longest one.
    state::milliseconds probe_interval{500};
    state::milliseconds longest_probe_interval{4000};
    /// An engine ejected again within this time goes on with its last interval.
    state::milliseconds calm_time{10000};
    /// Engines that must have been measured before any is ejected for being slow.
    std::size_t least_measured = 3;
    /// At most one engine in this many is ejected.
    std::size_t ejected_divisor = 3;
};

/// Ejects engines that are much slower than the median of those serving, by what this
/// node's own calls see, and calls that hang count as well. Probes and the calls still in
/// flight show when an engine has recovered.
class slow_engine_detector
{
public:
    explicit slow_engine_detector(local_load& load,
                                  const slow_engine_limits& limits = {});

    /// Judges all engines; to be called every few tens of milliseconds.
    void tick(state::time_point now);
    /// A call failed outright: no connection, connection lost, silence or wrong bytes.
    void on_failure(engine_slot slot, state::time_point now);

    /// Returns an engine of the view that is due for a probe. The caller sends it one
    /// request and reports that with `on_probe_sent`.
    std::optional<engine_slot> next_probe(state::time_point now) const;
    bool is_probe_due(engine_slot slot, state::time_point now) const;
    void on_probe_sent(engine_slot slot, state::time_point now);

    /// Whether a call has waited several times the usual time for its next token.
    bool is_stalled(const call_load& call, state::time_point now) const;
    health state_of(engine_slot slot) const;
    std::size_t ejected() const { return this->ejected_count; }
    /// Engines that may be ejected at the same time.
    std::size_t allowed() const;

private:
    struct record
    {
        backend_health machine;
        std::uint32_t generation = 0;
        std::uint32_t samples_seen = 0;
        /// Value of `samples` when the engine was ejected or probed.
        std::uint32_t samples_at_change = 0;
        bool stalled = false;
        /// Ejections in a row, which lengthen the interval of probes.
        std::uint32_t repeats = 0;
        state::time_point changed{};
        state::time_point recovered{};
    };

    record& record_of(engine_slot slot);
    void judge(engine_slot slot, state::time_point now);
    void judge_probe(engine_slot slot, record& item, state::time_point now);
    bool is_slow(const engine_load& engine) const;
    void apply(engine_slot slot, record& item, health before, state::time_point now);
    void spare_excess(state::time_point now);
    void count_ejected();

    local_load& load;
    slow_engine_limits limits;
    std::vector<record> records;
    std::size_t ejected_count = 0;
    std::size_t serving = 0;
};

} // namespace pomelorouter::coordination
