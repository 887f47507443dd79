#pragma once

#include <cstdint>
#include <span>

namespace pomelorouter::coordination
{

/// Returns the share of one node in a limit that applies to all nodes together. Shares
/// are proportional to the demand at the nodes and sum up to exactly the limit if all
/// nodes use the same demand in the same order; nodes need not communicate for each
/// request. If the limit is at least the number of nodes, each share is at least 1, so
/// that a node can serve the first requests that it receives.
std::int64_t share_of_limit(std::int64_t limit, std::span<const std::int64_t> demand,
                            std::size_t own_index);

} // namespace pomelorouter::coordination
