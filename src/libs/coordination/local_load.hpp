#pragma once

#include "state/clock.hpp"
#include "state/node_view.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace pomelorouter::coordination
{

/// Number of an engine in `local_load`; stays the same while the engine is known.
using engine_slot = std::uint32_t;

inline constexpr std::uint32_t no_index = 0xffffffffU;

/// What this node's own calls say of one engine.
struct engine_load
{
    std::string id;
    std::uint64_t incarnation = 0;
    /// Position in the engines of the present view, or `no_index`.
    std::uint32_t view_index = no_index;
    /// Changes when the slot is given to another engine.
    std::uint32_t generation = 0;

    std::uint32_t requests = 0;
    std::uint32_t long_requests = 0;
    std::int64_t expected_tokens = 0;
    /// EWMA over the node's own calls; 0 while nothing was measured.
    double first_token_us = 0.0;
    double token_gap_us = 0.0;
    std::uint32_t samples = 0;
    state::time_point last_progress{};
    /// The engine has a new incarnation; the slot is free once its last call has ended.
    bool retired = false;
    /// Set by `slow_engine_detector`: gets no new work but probes.
    bool ejected = false;
    /// Gets no new work until then while others can serve: it refused work as full. An
    /// engine that refuses has few requests and would otherwise attract the next ones.
    state::time_point full_until{};
    /// Set when the engine itself refused work because it is leaving.
    bool leaving = false;
};

/// Number of one call in `local_load`.
using call_number = std::uint32_t;

/// One call to an engine that has not ended.
struct call_load
{
    engine_slot slot = 0;
    bool active = false;
    bool has_first_token = false;
    bool long_work = false;
    /// Whether the node is waiting for the engine, not for the caller to read.
    bool waiting = false;
    std::int64_t expected_tokens = 0;
    state::time_point waiting_since{};
};

/// Load and speed of the engines as seen by this node's own calls. Owned by the serving
/// thread.
class local_load
{
public:
    /// Maps the engines of a view to their slots. Engines are the same across views if
    /// their id and incarnation are.
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
    /// Records that the node gave up waiting for the engine. The time it waited counts as
    /// a measurement if it is longer than usual.
    void give_up(call_number call, state::time_point now);
    void finish(call_number call);

    /// Medians over the engines that have been measured; 0 if none has.
    double median_first_token_us() const { return this->median_first; }
    double median_token_gap_us() const { return this->median_gap; }
    /// Engines of the present view that have been measured.
    std::size_t measured() const { return this->measured_engines; }
    /// Computes the medians again; called at intervals, not for each request.
    void update_medians();

private:
    engine_slot find_or_create(const state::backend_view& engine);

    std::vector<engine_load> engines;
    std::vector<engine_slot> slots;
    std::vector<engine_slot> free_slots;
    std::unordered_map<std::string, engine_slot> slot_by_id;
    std::vector<call_load> active_calls;
    std::vector<call_number> free_calls;
    std::vector<double> scratch;
    double median_first = 0.0;
    double median_gap = 0.0;
    std::size_t measured_engines = 0;
};

} // namespace pomelorouter::coordination
