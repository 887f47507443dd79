#pragma once

#include <cstdint>

namespace pomelorouter::bench
{

/// Number of calls of operator new in this process so far.
std::uint64_t allocation_count();

} // namespace pomelorouter::bench
