#include "app/node/process_clock.hpp"

#include "state/clock.hpp"

namespace pomelorouter::app
{

namespace
{

struct clock_pair
{
    std::chrono::system_clock::time_point wall = std::chrono::system_clock::now();
    state::time_point steady = std::chrono::steady_clock::now();
};

} // namespace

std::int64_t process_wall_s()
{
    static const clock_pair start;
    const auto elapsed = std::chrono::steady_clock::now() - start.steady;
    return std::chrono::duration_cast<state::seconds>(start.wall.time_since_epoch() +
                                                      elapsed)
        .count();
}

} // namespace pomelorouter::app
