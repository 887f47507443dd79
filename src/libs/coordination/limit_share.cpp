#include "coordination/limit_share.hpp"

#include <algorithm>
#include <numeric>

namespace pomelorouter::coordination
{

std::int64_t share_of_limit(std::int64_t limit, std::span<const std::int64_t> demand,
                            std::size_t own_index)
{
    const auto nodes = static_cast<std::int64_t>(demand.size());
    if (nodes == 0)
        return 0;
    const std::int64_t min_share = limit >= nodes ? 1 : 0;
    const std::int64_t divisible = limit - min_share * nodes;
    // Adds 1 to each demand, so that the limit is divided evenly without any demand.
    const std::int64_t total =
        std::accumulate(demand.begin(), demand.end(), std::int64_t{0}) + nodes;
    std::int64_t allocated = 0;
    for (const std::int64_t amount : demand)
        allocated += divisible * (amount + 1) / total;
    const std::int64_t own_weight = demand[own_index] + 1;
    const std::int64_t own_share = divisible * own_weight / total;
    // Largest remainder method: the rest goes to the nodes with the largest remainders,
    // in case of a tie to the first of them.
    const std::int64_t own_remainder = divisible * own_weight % total;
    std::int64_t remainders_ahead = 0;
    for (std::size_t i = 0; i < demand.size(); ++i)
    {
        const std::int64_t remainder = divisible * (demand[i] + 1) % total;
        remainders_ahead +=
            remainder > own_remainder || (remainder == own_remainder && i < own_index)
                ? 1
                : 0;
    }
    return min_share + own_share + (remainders_ahead < divisible - allocated ? 1 : 0);
}

} // namespace pomelorouter::coordination
