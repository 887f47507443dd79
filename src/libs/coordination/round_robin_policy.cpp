#include "coordination/round_robin_policy.hpp"

namespace pomelorouter::coordination
{

std::optional<std::uint32_t> round_robin_policy::choose(const routing_query& query,
                                                        random_source&)
{
    const auto count = static_cast<std::uint32_t>(query.candidates.size());
    for (std::uint32_t step = 0; step < count; ++step)
    {
        const std::uint32_t candidate = query.candidates[(this->next + step) % count];
        if (!is_eligible(query, candidate, true))
            continue;
        this->next += step + 1;
        return candidate;
    }
    return std::nullopt;
}

} // namespace pomelorouter::coordination
