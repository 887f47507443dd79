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
    const std::int64_t floor = limit >= nodes ? 1 : 0;
    const std::int64_t to_divide = limit - floor * nodes;
    // One is added to each demand, so that no demand at all is divided evenly.
    const std::int64_t total =
        std::accumulate(demand.begin(), demand.end(), std::int64_t{0}) + nodes;
    std::int64_t given = 0;
    for (const std::int64_t amount : demand)
        given += to_divide * (amount + 1) / total;
    const std::int64_t own_weight = demand[own_index] + 1;
    const std::int64_t own_part = to_divide * own_weight / total;
    // The rest of the division goes to the largest remainders, ties to the first.
    const std::int64_t own_remainder = to_divide * own_weight % total;
    std::int64_t ahead = 0;
    for (std::size_t i = 0; i < demand.size(); ++i)
    {
        const std::int64_t remainder = to_divide * (demand[i] + 1) % total;
        ahead +=
            remainder > own_remainder || (remainder == own_remainder && i < own_index)
                ? 1
                : 0;
    }
    return floor + own_part + (ahead < to_divide - given ? 1 : 0);
}

} // namespace pomelorouter::coordination
