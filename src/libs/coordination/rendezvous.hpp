#pragma once

#include <cstdint>
#include <string_view>

namespace pomelorouter::coordination
{

/// Returns the weight of a node for a key in rendezvous hashing; the node with the
/// highest weight ranks first. All nodes compute the same weights.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view node);

} // namespace pomelorouter::coordination
