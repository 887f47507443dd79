#pragma once

#include "coordination/routing_policy.hpp"

namespace pomelorouter::coordination
{

/// Chooses any replica. A baseline: takes no notice of slow engines.
class random_policy : public routing_policy
{
public:
    std::optional<std::uint32_t> choose(const routing_query& query,
                                        random_source& random) override;
};

} // namespace pomelorouter::coordination
