#pragma once

#include "coordination/local_load.hpp"
#include "coordination/prefix_index.hpp"
#include "coordination/random_source.hpp"
#include "state/attributes.hpp"
#include "state/clock.hpp"
#include "state/node_view.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>

namespace pomelorouter::coordination
{

/// What a policy knows of one request and of the engines that could run it.
struct routing_query
{
    /// Replicas, as indexes into `engines`.
    std::span<const std::uint32_t> candidates;
    std::span<const state::backend_view> engines;
    const local_load* load = nullptr;
    const prefix_index* prefixes = nullptr;
    const prefix_hashes* prompt = nullptr;
    /// Engines that must not be chosen, for example because they failed this request.
    std::span<const engine_slot> tried;
    std::int64_t expected_tokens = 0;
    bool long_work = false;
    std::int64_t long_share_percent = 100;
    state::time_point now{};
};

/// Whether an engine may get the request at all. `with_avoided` also allows the engines
/// that the slow engine detector has ejected and those that are full.
bool is_eligible(const routing_query& query, std::uint32_t candidate, bool with_avoided);

/// Whether an engine may get one more request of long work: this node gives at most
/// `share_percent` of the slots, and at least one, to long work.
bool has_room_for_long_work(const engine_load& load, std::int64_t slots,
                            std::int64_t share_percent);

/// Expected time between tokens of an engine, in microseconds.
double expected_gap_us(const routing_query& query, const engine_load& own);

/// Estimated time until an engine would start on a new request, in microseconds.
double expected_wait_us(const routing_query& query, std::uint32_t candidate);
/// The same for the decision whether to admit a request at all: takes the last report at
/// its word, since under a rising load an older report shows too little rather than too
/// much.
double admission_wait_us(const routing_query& query, std::uint32_t candidate);

/// Chooses the engine of a request. Decisions allocate no memory.
class routing_policy
{
public:
    virtual ~routing_policy() = default;

    /// Returns an index into `query.engines`, or nothing if no candidate is eligible.
    virtual std::optional<std::uint32_t> choose(const routing_query& query,
                                                random_source& random) = 0;
};

std::unique_ptr<routing_policy> make_routing_policy(state::routing_policy_kind kind);

} // namespace pomelorouter::coordination
