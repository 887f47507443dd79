#pragma once

#include "coordination/routing_policy.hpp"

namespace pomelorouter::coordination
{

/// Chooses the replicas in turn. Ignores slow engines; serves as a baseline for
/// comparison.
class round_robin_policy : public routing_policy
{
public:
    std::optional<std::uint32_t> choose(const routing_query& query,
                                        random_source& random) override;

private:
    std::uint32_t next = 0;
};

} // namespace pomelorouter::coordination
