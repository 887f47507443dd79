#pragma once

#include <chrono>

namespace pomelorouter::state
{

/// Time of all decisions: monotonic, so that a step of the wall clock changes nothing.
using time_point = std::chrono::steady_clock::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace pomelorouter::state
