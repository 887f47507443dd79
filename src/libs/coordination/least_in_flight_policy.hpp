#pragma once

#include "coordination/routing_policy.hpp"

namespace pomelorouter::coordination
{

/// Chooses the replica with the fewest requests in flight from this node. Ignores slow
/// engines; serves as a baseline for comparison.
class least_in_flight_policy : public routing_policy
{
public:
    std::optional<std::uint32_t> choose(const routing_query& query,
                                        random_source& random) override;
};

} // namespace pomelorouter::coordination
