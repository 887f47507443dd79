#pragma once

#include "coordination/routing_policy.hpp"

namespace pomelorouter::coordination
{

/// Chooses the replica with the fewest of this node's requests. A baseline: takes no
/// notice of slow engines.
class least_in_flight_policy : public routing_policy
{
public:
    std::optional<std::uint32_t> choose(const routing_query& query,
                                        random_source& random) override;
};

} // namespace pomelorouter::coordination
