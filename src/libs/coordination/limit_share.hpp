#pragma once

#include <cstdint>
#include <span>

namespace pomelorouter::coordination
{

/// Returns one node's part of a limit over all nodes. The parts follow the demand at the
/// nodes and sum to the limit exactly if all nodes know the same demand in the same
/// order; no message is needed for a request. With a limit of at least the number of
/// nodes each part is at least 1, so that a node whose demand begins can serve.
std::int64_t share_of_limit(std::int64_t limit, std::span<const std::int64_t> demand,
                            std::size_t own_index);

} // namespace pomelorouter::coordination
