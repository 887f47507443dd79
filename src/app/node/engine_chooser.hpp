#pragma once

#include "app/node/completion_state.hpp"
#include "app/node/control_loop.hpp"
#include "coordination/local_load.hpp"
#include "coordination/prefix_index.hpp"
#include "coordination/random_source.hpp"
#include "coordination/routing_policy.hpp"
#include "coordination/slow_engine_detector.hpp"
#include "coordination/work_estimator.hpp"
#include "state/counters.hpp"

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelorouter::app
{

/// The engine chosen for one attempt.
struct chosen_engine
{
    coordination::engine_slot slot = 0;
    std::string id;
    std::string address;
};

/// Why no engine was chosen.
enum class choice_failure
{
    /// No engine that accepts work has the model.
    not_resident,
    /// Every engine that has the model was tried.
    all_tried,
    /// Long requests already use their share of each engine.
    no_room,
};

/// The chosen engine, or the reason why none was chosen.
struct engine_choice
{
    std::optional<chosen_engine> engine;
    choice_failure failure = choice_failure::not_resident;
};

/// Time estimates for a new request.
struct expected_times
{
    /// Time until an engine starts the request.
    state::microseconds wait{0};
    /// Time until the last token.
    state::microseconds total{0};
};

/// Chooses engines according to the routing policy of the model, and tracks the load and
/// health of engines from this node's calls. Used on the serving thread only.
class engine_chooser
{
public:
    engine_chooser(const view_cell& views, state::counter_registry& counters);

    /// Updates the slow engine detector. Returns whether the view is newer than at the
    /// last call.
    bool tick(state::time_point now);
    /// Loads and returns the newest view, which the engine slots refer to.
    const std::shared_ptr<const state::node_view>& refresh();

    /// Sets `expected_tokens` and `long_work` of a request.
    void estimate(completion_state& request) const;
    engine_choice choose(const completion_state& request, state::time_point now);
    /// Whether an engine that was not tried, and is not ejected, could serve the request.
    bool has_alternative(const completion_state& request, state::time_point now);
    /// Estimates for a new request; each is the minimum over the replicas.
    expected_times expected(const completion_state& request, state::time_point now);

    /// Prepares a probe of an ejected engine: a short request for a model that it has.
    /// Returns the engine, or nothing if no probe is due.
    std::optional<chosen_engine> begin_probe(completion_state& request,
                                             state::time_point now);

    coordination::call_number begin_call(const completion_state& request,
                                         coordination::engine_slot slot,
                                         state::time_point now);
    void on_tokens(const completion_state& request, coordination::call_number call,
                   std::int64_t tokens, state::time_point now);
    void on_failure(coordination::engine_slot slot, state::time_point now);
    /// The engine refused a request because its queue is full.
    void on_full(coordination::engine_slot slot, state::time_point now);
    /// The engine refused a request because, contrary to the view, it does not have the
    /// model.
    void on_not_resident(const completion_state& request, coordination::engine_slot slot,
                         state::time_point now);
    void on_finished(const completion_state& request);
    /// Whether a call has waited for its first token longer than usual.
    bool is_late(coordination::call_number call, state::time_point now) const;
    /// Whether a call is stalled on an engine that is ejected.
    bool should_move(coordination::call_number call, state::time_point now) const;

    coordination::local_load& engine_loads() { return this->load; }
    coordination::random_source& random_numbers() { return this->random; }

private:
    /// An engine that does not have a model although the view lists it as a replica.
    struct missing_replica
    {
        coordination::engine_slot slot = 0;
        std::string model;
        state::time_point until{};
    };

    /// Sets `excluded` to the engines in `tried` and the missing replicas of the
    /// request's model.
    void collect_excluded(const completion_state& request,
                          const std::vector<coordination::engine_slot>& tried,
                          state::time_point now);
    const state::replica_set* find_replicas(const completion_state& request) const;
    coordination::routing_query make_query(const completion_state& request,
                                           const state::replica_set& replicas,
                                           state::time_point now);
    coordination::routing_policy& policy_of(const completion_state& request);

    const view_cell& views;
    std::shared_ptr<const state::node_view> view;
    std::shared_ptr<const state::node_view> ticked_view;
    coordination::local_load load;
    coordination::slow_engine_detector detector;
    coordination::prefix_index prefixes;
    coordination::work_estimator estimator;
    coordination::random_source random;
    std::vector<missing_replica> missing_replicas;
    /// Engines excluded from the current choice; a member so that its memory is reused.
    std::vector<coordination::engine_slot> excluded;
    std::array<std::unique_ptr<coordination::routing_policy>, 4> policies;
    state::counter& probes;
    state::counter& ejected;
};

} // namespace pomelorouter::app
