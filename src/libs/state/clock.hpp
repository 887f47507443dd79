#pragma once

#include <chrono>

namespace pomelorouter::state
{

/// Time that all decisions use. It is monotonic, so that they are not affected when the
/// wall clock is adjusted.
using time_point = std::chrono::steady_clock::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline time_point now()
{
    return std::chrono::steady_clock::now();
}

/// Returns the time elapsed since `start`.
inline milliseconds since(time_point start)
{
    return std::chrono::duration_cast<milliseconds>(now() - start);
}

} // namespace pomelorouter::state
