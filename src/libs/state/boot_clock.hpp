#pragma once

#include "state/clock.hpp"

namespace pomelorouter::state
{

/// Returns the time of a monotonic clock that, unlike the steady clock, also advances
/// while the instance is suspended. The type is that of the steady clock but the origin
/// differs, so compare the result only with other results of this function.
time_point boot_time();

} // namespace pomelorouter::state
