#pragma once

#include "state/clock.hpp"

namespace pomelorouter::state
{

/// Time that runs on while the instance is suspended, unlike the steady clock. It is
/// returned in the type of the steady clock, with an origin of its own: compare it only
/// with itself.
time_point boot_time();

} // namespace pomelorouter::state
