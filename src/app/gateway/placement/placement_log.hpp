#pragma once

#include "coordination/weight_demand.hpp"
#include "coordination/weight_planner.hpp"
#include "state/clock.hpp"

#include <vector>

namespace pomelorouter::app
{

/// Number and duration of the plans since the last log line.
struct plan_statistics
{
    int plans = 0;
    state::microseconds total{};
    state::microseconds longest{};
};

/// Logs demand, copies and load of the models in demand, and what planning took.
void log_placement(const std::vector<coordination::planned_engine>& engines,
                   const coordination::weight_demand::rates& demand,
                   const plan_statistics& statistics);

} // namespace pomelorouter::app
