#pragma once

#include "coordination/routing_policy.hpp"

namespace pomelorouter::coordination
{

/// Chooses a replica uniformly at random. Ignores slow engines; serves as a baseline for
/// comparison.
class random_policy : public routing_policy
{
public:
    std::optional<std::uint32_t> choose(const routing_query& query,
                                        random_source& random) override;
};

} // namespace pomelorouter::coordination
