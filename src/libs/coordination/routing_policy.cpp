#include "coordination/routing_policy.hpp"

#include "coordination/expected_wait_policy.hpp"
#include "coordination/least_in_flight_policy.hpp"
#include "coordination/random_policy.hpp"
#include "coordination/round_robin_policy.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace pomelorouter::coordination
{

namespace
{

// Without measurements, all engines are assumed to have the speed that the target load of
// the system requires.
constexpr double default_gap_us = 29'000.0;
constexpr std::int64_t default_slots = 8;
// Age at which a measurement has half its weight. Slowdowns of engines are temporary,
// and an engine without requests would otherwise be avoided forever.
constexpr double speed_half_life_us = 5'000'000.0;
// Differences up to this share of the median are noise. Otherwise, a lightly loaded node
// would send all its requests to the engine with the best measurements by chance.
constexpr double noise_share = 0.25;
// Age at which a load report has half its weight. If old reports had full weight, all
// nodes would switch to the same engine.
constexpr double report_half_life_us = 500'000.0;

double elapsed_us(state::time_point from, state::time_point to)
{
    return std::max(0.0, std::chrono::duration<double, std::micro>(to - from).count());
}

double report_age_us(const routing_query& query, std::uint32_t candidate)
{
    const state::backend_view& engine = query.engines[candidate];
    return elapsed_us(engine.load_received, query.now) +
           std::chrono::duration<double, std::micro>(
               state::milliseconds(engine.load.age_ms))
               .count();
}

double wait_us(const routing_query& query, std::uint32_t candidate, double report_weight)
{
    const state::backend_view& engine = query.engines[candidate];
    const engine_load& own = query.load->at_index(candidate);
    const double gap = expected_gap_us(query, own);
    const double slots =
        static_cast<double>(engine.load.slots > 0 ? engine.load.slots : default_slots);
    const auto own_requests = static_cast<double>(own.requests);
    const double other_requests =
        std::max(0.0, static_cast<double>(engine.load.running + engine.load.queued) -
                          own_requests) *
        report_weight;
    // Requests of other nodes are assumed to have the same mean size as those of this
    // node.
    const double request_tokens =
        own.requests > 0 ? static_cast<double>(own.expected_tokens) / own_requests
                         : static_cast<double>(query.expected_tokens);
    const double outstanding =
        static_cast<double>(own.expected_tokens) + other_requests * request_tokens;
    return outstanding * gap / slots;
}

} // namespace

bool has_room_for_long_work(const engine_load& load, std::int64_t slots,
                            std::int64_t share_percent)
{
    const std::int64_t effective_slots = slots > 0 ? slots : default_slots;
    const std::int64_t max_long_requests =
        std::max<std::int64_t>(1, effective_slots * share_percent / 100);
    return static_cast<std::int64_t>(load.long_requests) < max_long_requests;
}

bool is_eligible(const routing_query& query, std::uint32_t candidate,
                 bool include_avoided)
{
    const engine_slot slot = query.load->slot_of(candidate);
    const engine_load& load = query.load->at(slot);
    const state::backend_view& engine = query.engines[candidate];
    if (engine.leaving || load.leaving)
        return false;
    if (!include_avoided && (load.ejected || query.now < load.full_until))
        return false;
    if (query.long_work &&
        !has_room_for_long_work(load, engine.load.slots, query.long_share_percent))
        return false;
    return std::find(query.tried.begin(), query.tried.end(), slot) == query.tried.end();
}

double expected_gap_us(const routing_query& query, const engine_load& own)
{
    const double usual = query.load->median_token_gap_us() > 0.0
                             ? query.load->median_token_gap_us()
                             : default_gap_us;
    const double difference = own.token_gap_us - usual;
    if (own.token_gap_us <= 0.0 || std::abs(difference) < noise_share * usual)
        return usual;
    const double confidence =
        1.0 / (1.0 + elapsed_us(own.last_progress, query.now) / speed_half_life_us);
    return usual + difference * confidence;
}

double expected_wait_us(const routing_query& query, std::uint32_t candidate)
{
    // An old report says little about which of two engines has less load now.
    return wait_us(query, candidate,
                   1.0 / (1.0 + report_age_us(query, candidate) / report_half_life_us));
}

double admission_wait_us(const routing_query& query, std::uint32_t candidate)
{
    return wait_us(query, candidate, 1.0);
}

std::unique_ptr<routing_policy> make_routing_policy(state::routing_policy_kind kind)
{
    switch (kind)
    {
    case state::routing_policy_kind::random:
        return std::make_unique<random_policy>();
    case state::routing_policy_kind::round_robin:
        return std::make_unique<round_robin_policy>();
    case state::routing_policy_kind::least_in_flight:
        return std::make_unique<least_in_flight_policy>();
    case state::routing_policy_kind::expected_wait:
        return std::make_unique<expected_wait_policy>();
    }
    return std::make_unique<expected_wait_policy>();
}

} // namespace pomelorouter::coordination
