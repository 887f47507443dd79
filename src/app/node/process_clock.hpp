#pragma once

#include <cstdint>

namespace pomelorouter::app
{

/// Wall time in seconds as read when the process started, advanced by the steady clock.
/// It never steps back, so that an expired key stays expired.
std::int64_t process_wall_s();

} // namespace pomelorouter::app
