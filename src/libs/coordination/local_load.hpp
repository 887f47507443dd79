#pragma once

#include "state/clock.hpp"
#include "state/node_view.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace pomelorouter::coordination
{

/// Index of an engine in `local_load`; constant while the engine is known.
using engine_slot = std::uint32_t;

inline constexpr std::uint32_t no_index = 0xffffffffU;

/// Load and speed of one engine as measured by the calls of this node.
struct engine_load
{
    std::string id;
    std::uint64_t incarnation = 0;
    /// Index into the engines of the present view, or `no_index`.
    std::uint32_t view_index = no_index;
    /// Changes when the slot is reused for another engine.
    std::uint32_t generation = 0;

    std::uint32_t requests = 0;
    std::uint32_t long_requests = 0;
    std::int64_t expected_tokens = 0;
    /// Exponentially weighted moving averages over the calls of this node; 0 without
    /// measurements.
    double first_token_us = 0.0;
    double token_gap_us = 0.0;
    std::uint32_t samples = 0;
    state::time_point last_progress{};
    /// The engine has a new incarnation; the slot is freed once its last call has ended.
    bool retired = false;
    /// Set by `slow_engine_detector`: the engine gets no new work except probes.
    bool ejected = false;
    /// The engine refused work as full and gets no new work until this time while others
    /// can serve. An engine that refuses work has few requests and would otherwise
    /// attract the next ones.
    state::time_point full_until{};
    /// The engine refused work because it is leaving.
    bool leaving = false;
};

/// Index of a call in `local_load`.
using call_number = std::uint32_t;

/// One call in flight to an engine.
struct call_load
{
    engine_slot slot = 0;
    bool active = false;
    bool has_first_token = false;
    bool long_work = false;
    /// Whether the node waits for the engine rather than for the caller to read.
    bool waiting = false;
    std::int64_t expected_tokens = 0;
    state::time_point waiting_since{};
};

/// Tracks load and speed of the engines as measured by the calls of this node. Used by
/// the serving thread only.
class local_load
{
public:
    /// Assigns slots to the engines of a view. An engine with the same id and incarnation
    /// keeps its slot.
    void bind(const std::vector<state::backend_view>& engines);

    engine_slot slot_of(std::uint32_t view_index) const
    {
        return this->slots[view_index];
    }
    const engine_load& at(engine_slot slot) const { return this->engines[slot]; }
    engine_load& at(engine_slot slot) { return this->engines[slot]; }
    const engine_load& at_index(std::uint32_t view_index) const
    {
        return this->engines[this->slots[view_index]];
    }
    std::size_t slot_count() const { return this->engines.size(); }
    const std::vector<call_load>& calls() const { return this->active_calls; }

    call_number start(engine_slot slot, std::int64_t expected_tokens, bool long_work,
                      state::time_point now);
    /// Records that the engine sent `tokens` more tokens of a call.
    void progress(call_number call, std::int64_t tokens, state::time_point now);
    /// Records that the node waits for the engine again after writing to the caller.
    void wait_again(call_number call, state::time_point now);
    /// Records that the node stopped waiting for the engine. The waiting time counts as a
    /// measurement if it exceeds the mean.
    void give_up(call_number call, state::time_point now);
    void finish(call_number call);

    /// Medians over the engines that have been measured; 0 if none has.
    double median_first_token_us() const { return this->median_first; }
    double median_token_gap_us() const { return this->median_gap; }
    /// Engines of the present view that have been measured.
    std::size_t measured() const { return this->measured_engines; }
    /// Recomputes the medians; call it periodically, not for each request.
    void update_medians();

private:
    engine_slot find_or_create(const state::backend_view& engine);

    std::vector<engine_load> engines;
    std::vector<engine_slot> slots;
    std::vector<engine_slot> free_slots;
    std::unordered_map<std::string, engine_slot> slot_by_id;
    std::vector<call_load> active_calls;
    std::vector<call_number> free_calls;
    std::vector<double> median_values;
    double median_first = 0.0;
    double median_gap = 0.0;
    std::size_t measured_engines = 0;
};

} // namespace pomelorouter::coordination
