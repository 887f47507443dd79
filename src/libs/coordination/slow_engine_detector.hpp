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
    /// An engine is slow if its mean exceeds this multiple of the median of all engines.
    double gap_factor = 3.0;
    double first_token_factor = 4.0;
    /// An engine is not slow if its means are below these times.
    state::milliseconds gap_floor{5};
    state::milliseconds first_token_floor{50};
    /// A call is not stalled below these waiting times, which may be noise of this node
    /// or of the network.
    state::milliseconds stalled_gap_floor{50};
    state::milliseconds stalled_first_token_floor{200};
    /// Measurements after which an ejected engine can become healthy again.
    std::uint32_t recovery_samples = 3;
    /// Time until the next probe; doubles with each repeated ejection up to the maximum.
    state::milliseconds probe_interval{500};
    state::milliseconds max_probe_interval{4000};
    /// An engine that is ejected again within this time after its recovery continues with
    /// a longer probe interval instead of the shortest one.
    state::milliseconds repeat_window{10000};
    /// Number of engines that must have been measured before any counts as slow.
    std::size_t min_measured = 3;
    /// At most one in this many engines is ejected.
    std::size_t ejected_divisor = 3;
};

/// Ejects engines that are much slower than the median according to the calls of this
/// node, including calls that are stalled. Probes and the calls that are still in flight
/// show when an engine has recovered.
class slow_engine_detector
{
public:
    explicit slow_engine_detector(local_load& load,
                                  const slow_engine_limits& limits = {});

    /// Evaluates all engines; call it every few tens of milliseconds.
    void tick(state::time_point now);
    /// Records a failed call: no connection, connection lost, no answer or a malformed
    /// one.
    void on_failure(engine_slot slot, state::time_point now);

    /// Returns an engine of the view that is due for a probe. The caller sends it one
    /// request and calls `on_probe_sent`.
    std::optional<engine_slot> next_probe(state::time_point now) const;
    bool is_probe_due(engine_slot slot, state::time_point now) const;
    void on_probe_sent(engine_slot slot, state::time_point now);

    /// Whether a call has waited several times the usual time for its next token.
    bool is_stalled(const call_load& call, state::time_point now) const;
    health state_of(engine_slot slot) const;
    std::size_t ejected() const { return this->ejected_count; }
    /// Maximum number of engines that may be ejected at the same time.
    std::size_t allowed() const;

private:
    struct record
    {
        backend_health machine;
        std::uint32_t generation = 0;
        std::uint32_t samples_seen = 0;
        /// Value of `samples` at the last change of state.
        std::uint32_t samples_at_change = 0;
        bool stalled = false;
        /// Consecutive ejections, which lengthen the probe interval.
        std::uint32_t repeats = 0;
        state::time_point changed{};
        state::time_point recovered{};
    };

    record& record_of(engine_slot slot);
    void evaluate(engine_slot slot, state::time_point now);
    void evaluate_probe(engine_slot slot, record& item, state::time_point now);
    bool is_slow(const engine_load& engine) const;
    void apply(engine_slot slot, record& item, health before, state::time_point now);
    void reinstate_excess(state::time_point now);
    void count_ejected();

    local_load& load;
    slow_engine_limits limits;
    std::vector<record> records;
    std::size_t ejected_count = 0;
    std::size_t serving = 0;
};

} // namespace pomelorouter::coordination
