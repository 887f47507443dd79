#pragma once

#include <chrono>

namespace pomelorouter::state
{

/// Time of all decisions: monotonic, so that a step of the wall clock changes nothing.
using time_point = std::chrono::steady_clock::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline time_point now()
{
    return std::chrono::steady_clock::now();
}

/// Time from `start` until now.
inline milliseconds since(time_point start)
{
    return std::chrono::duration_cast<milliseconds>(now() - start);
}

} // namespace pomelorouter::state
