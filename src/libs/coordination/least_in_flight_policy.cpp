#include "coordination/least_in_flight_policy.hpp"

namespace pomelorouter::coordination
{

std::optional<std::uint32_t> least_in_flight_policy::choose(const routing_query& query,
                                                            random_source& random)
{
    const auto count = static_cast<std::uint32_t>(query.candidates.size());
    if (count == 0)
        return std::nullopt;
    // Starts at a random replica, so that idle nodes do not all choose the first one.
    const std::uint32_t first = random.below(count);
    std::optional<std::uint32_t> best;
    std::uint32_t fewest = 0;
    for (std::uint32_t step = 0; step < count; ++step)
    {
        const std::uint32_t candidate = query.candidates[(first + step) % count];
        if (!is_eligible(query, candidate, true))
            continue;
        const std::uint32_t requests = query.load->at_index(candidate).requests;
        if (best && requests >= fewest)
            continue;
        best = candidate;
        fewest = requests;
    }
    return best;
}

} // namespace pomelorouter::coordination
