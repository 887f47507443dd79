#pragma once

#include "coordination/weight_demand.hpp"
#include "coordination/weight_planner.hpp"

#include <vector>

namespace pomelorouter::app
{

/// Logs demand, copies and load of the models in demand.
void log_placement(const std::vector<coordination::planned_engine>& engines,
                   const coordination::weight_demand::rates& demand);

} // namespace pomelorouter::app
