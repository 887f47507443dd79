#include "coordination/task_pacer.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using state::milliseconds;
using state::time_point;

} // namespace

// Guards against a task whose runs last longer than its interval and leave no time for
// the other work of the thread.
TEST_CASE("a task takes at most its share of time however long a run lasts")
{
    for (const milliseconds duration :
         {milliseconds(1), milliseconds(10), milliseconds(30), milliseconds(400)})
    {
        coordination::task_pacer pacer(0.25, milliseconds(25));
        const time_point begin{};
        time_point now = begin;
        milliseconds busy{0};
        int runs = 0;
        while (now - begin < milliseconds(8000))
        {
            now = std::max(now, pacer.next_start());
            const time_point start = now;
            now += duration;
            pacer.on_run(start, now);
            busy += duration;
            ++runs;
        }
        const auto elapsed =
            std::chrono::duration_cast<milliseconds>(pacer.next_start() - begin);
        CHECK(busy * 4 <= elapsed);
        CHECK(runs <= elapsed / milliseconds(25));
    }
}

TEST_CASE("a short task runs at its minimum interval")
{
    coordination::task_pacer pacer(0.25, milliseconds(25));
    const time_point start{milliseconds(1000)};
    pacer.on_run(start, start + milliseconds(2));
    CHECK(pacer.next_start() == start + milliseconds(25));
}
