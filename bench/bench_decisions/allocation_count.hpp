#pragma once

#include <cstdint>

namespace pomelorouter::bench
{

/// Returns how often this process has called operator new since its start.
std::uint64_t allocation_count();

} // namespace pomelorouter::bench
