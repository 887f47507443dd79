#include "coordination/random_policy.hpp"

namespace pomelorouter::coordination
{

std::optional<std::uint32_t> random_policy::choose(const routing_query& query,
                                                   random_source& random)
{
    std::optional<std::uint32_t> chosen;
    std::uint32_t seen = 0;
    for (const std::uint32_t candidate : query.candidates)
    {
        // Reservoir sampling: each eligible replica is kept with the same probability.
        if (is_eligible(query, candidate, true) && random.below(++seen) == 0)
            chosen = candidate;
    }
    return chosen;
}

} // namespace pomelorouter::coordination
