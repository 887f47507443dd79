#pragma once

#include <chrono>
#include <ctime>

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

/// Processor time that this process has used.
inline milliseconds process_cpu_time()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::chrono::duration_cast<milliseconds>(
        seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace pomelorouter::state
