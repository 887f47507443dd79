#include "state/boot_clock.hpp"

#include <ctime>

namespace pomelorouter::state
{

time_point boot_time()
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::duration_cast<time_point::duration>(
        std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec)));
}

} // namespace pomelorouter::state
