#pragma once

#include "state/clock.hpp"

namespace pomelorouter::coordination
{

/// Paces a recurring task on a thread that also does other work: bounds the share of time
/// that the task takes, however long one run of it lasts.
class task_pacer
{
public:
    /// `max_share` is the largest share of time for the task, between 0 and 1;
    /// `min_interval` the minimum time between the starts of two runs.
    task_pacer(double max_share, state::milliseconds min_interval);

    /// Time from which the task may run again.
    state::time_point next_start() const { return this->next; }
    void on_run(state::time_point start, state::time_point end);

private:
    double share;
    state::milliseconds interval;
    state::time_point next{};
};

} // namespace pomelorouter::coordination
