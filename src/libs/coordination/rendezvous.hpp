#pragma once

#include <cstdint>
#include <string_view>

namespace pomelorouter::coordination
{

/// Weight of a node for a key; the node with the highest weight ranks first. The same on
/// every node.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view node);

} // namespace pomelorouter::coordination
