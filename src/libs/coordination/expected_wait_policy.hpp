#pragma once

#include "coordination/routing_policy.hpp"

namespace pomelorouter::coordination
{

/// Chooses the replica with the lowest expected response time among a few random samples.
class expected_wait_policy : public routing_policy
{
public:
    std::optional<std::uint32_t> choose(const routing_query& query,
                                        random_source& random) override;

private:
    static double score(const routing_query& query, std::uint32_t candidate,
                        double cached_share);
};

} // namespace pomelorouter::coordination
