#include "coordination/task_pacer.hpp"

#include <algorithm>

namespace pomelorouter::coordination
{

task_pacer::task_pacer(double max_share, state::milliseconds min_interval)
    : share(max_share), interval(min_interval)
{
}

void task_pacer::on_run(state::time_point start, state::time_point end)
{
    const auto cycle = std::chrono::duration_cast<state::time_point::duration>(
        (end - start) / this->share);
    this->next = start + std::max<state::time_point::duration>(this->interval, cycle);
}

} // namespace pomelorouter::coordination
