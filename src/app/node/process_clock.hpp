#pragma once

#include <cstdint>

namespace pomelorouter::app
{

/// Unix time in seconds: the wall time of the first call, advanced by the steady clock.
/// It never goes backwards, so that an expired key stays expired.
std::int64_t process_wall_s();

} // namespace pomelorouter::app
