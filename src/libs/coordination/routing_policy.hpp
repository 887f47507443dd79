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

/// Input of a routing decision: one request and the engines that could run it.
struct routing_query
{
    /// Replicas, as indexes into `engines`.
    std::span<const std::uint32_t> candidates;
    std::span<const state::backend_view> engines;
    const local_load* load = nullptr;
    const prefix_index* prefixes = nullptr;
    const prefix_hashes* prompt = nullptr;
    /// Engines that must not be chosen, for example because this request failed there.
    std::span<const engine_slot> tried;
    std::int64_t expected_tokens = 0;
    bool long_work = false;
    std::int64_t long_share_percent = 100;
    state::time_point now{};
};

/// Whether an engine may get the request. `include_avoided` also allows engines that the
/// slow engine detector has ejected and engines that refused work as full.
bool is_eligible(const routing_query& query, std::uint32_t candidate,
                 bool include_avoided);

/// Whether an engine may get one more long request: this node uses at most
/// `share_percent` of the slots of an engine, but at least one slot, for long requests.
bool has_room_for_long_work(const engine_load& load, std::int64_t slots,
                            std::int64_t share_percent);

/// Expected time between tokens of an engine, in microseconds.
double expected_gap_us(const routing_query& query, const engine_load& own);

/// Estimated time until an engine would start a new request, in microseconds.
double expected_wait_us(const routing_query& query, std::uint32_t candidate);
/// Like `expected_wait_us`, but for the decision whether to admit a request: uses the
/// last load report with full weight, since an older report understates a rising load
/// rather than overstating it.
double admission_wait_us(const routing_query& query, std::uint32_t candidate);

/// Chooses the engine for a request. Decisions allocate no memory.
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
