#include "coordination/expected_wait_policy.hpp"

#include <algorithm>

namespace pomelorouter::coordination
{

namespace
{

// The better of two random replicas balances load nearly as well as the best of all, and
// keeps nodes from all choosing the same engine between two load reports.
constexpr std::uint32_t sample_count = 2;
// Random replicas examined to find one in a near availability zone.
constexpr std::uint32_t zone_probes = 3;
// Random draws before the search falls back to a scan of all replicas.
constexpr std::uint32_t draws_per_sample = 4;
constexpr double default_first_token_us = 200'000.0;

std::optional<std::uint32_t> draw_random(const routing_query& query,
                                         random_source& random, bool include_avoided)
{
    const auto count = static_cast<std::uint32_t>(query.candidates.size());
    for (std::uint32_t i = 0; i < draws_per_sample; ++i)
    {
        const std::uint32_t candidate = query.candidates[random.below(count)];
        if (is_eligible(query, candidate, include_avoided))
            return candidate;
    }
    const std::uint32_t first = random.below(count);
    for (std::uint32_t step = 0; step < count; ++step)
    {
        const std::uint32_t candidate = query.candidates[(first + step) % count];
        if (is_eligible(query, candidate, include_avoided))
            return candidate;
    }
    return std::nullopt;
}

std::optional<std::uint32_t> draw_nearest(const routing_query& query,
                                          random_source& random, bool include_avoided)
{
    const auto count = static_cast<std::uint32_t>(query.candidates.size());
    std::optional<std::uint32_t> nearest;
    for (std::uint32_t i = 0; i < zone_probes; ++i)
    {
        const std::uint32_t candidate = query.candidates[random.below(count)];
        if (nearest &&
            query.engines[candidate].distance_us >= query.engines[*nearest].distance_us)
            continue;
        if (is_eligible(query, candidate, include_avoided))
            nearest = candidate;
    }
    return nearest;
}

} // namespace

double expected_wait_policy::score(const routing_query& query, std::uint32_t candidate,
                                   double cached_share)
{
    const engine_load& own = query.load->at_index(candidate);
    const double usual_first = query.load->median_first_token_us() > 0.0
                                   ? query.load->median_first_token_us()
                                   : default_first_token_us;
    // The time to first token measured on this engine includes queueing, which the
    // expected wait already covers, so the median serves as the cost of the prompt.
    const double prompt_us = usual_first * (1.0 - cached_share);
    const double distance_us =
        2.0 * static_cast<double>(query.engines[candidate].distance_us);
    return expected_wait_us(query, candidate) + prompt_us + distance_us +
           expected_gap_us(query, own) * static_cast<double>(query.expected_tokens);
}

std::optional<std::uint32_t> expected_wait_policy::choose(const routing_query& query,
                                                          random_source& random)
{
    if (query.candidates.empty())
        return std::nullopt;
    // Avoided engines are used as a last resort, so that every model stays reachable.
    bool include_avoided = false;
    std::optional<std::uint32_t> best = draw_random(query, random, include_avoided);
    if (!best)
    {
        include_avoided = true;
        best = draw_random(query, random, include_avoided);
    }
    if (!best || query.candidates.size() == 1)
        return best;
    double lowest = score(query, *best, 0.0);
    const auto update_best =
        [&](std::optional<std::uint32_t> candidate, double cached_share)
    {
        if (!candidate || (*candidate == *best && cached_share <= 0.0))
            return;
        const double value = score(query, *candidate, cached_share);
        if (value >= lowest)
            return;
        lowest = value;
        best = candidate;
    };
    for (std::uint32_t i = 1; i < sample_count; ++i)
        update_best(draw_random(query, random, include_avoided), 0.0);
    update_best(draw_nearest(query, random, include_avoided), 0.0);
    if (query.prefixes == nullptr || query.prompt == nullptr)
        return best;
    const prefix_match match = query.prefixes->find(*query.prompt);
    for (const engine_slot slot : match.engines)
    {
        const std::uint32_t index = query.load->at(slot).view_index;
        const bool is_replica =
            std::find(query.candidates.begin(), query.candidates.end(), index) !=
            query.candidates.end();
        if (is_replica && is_eligible(query, index, include_avoided))
            update_best(index, match.covered);
    }
    return best;
}

} // namespace pomelorouter::coordination
