#pragma once

#include "app/commands/exit_code.hpp"

#include <boost/json/array.hpp>

#include <string>
#include <vector>

namespace pomelorouter::app
{

/// `pomelorouter timeline`: prints the merged events of several nodes. Returns
/// `exit_code::unreachable` if none of them answers.
exit_code timeline_command(const std::vector<std::string>& arguments);

/// Sorts events by wall time. Events with the same wall time are sorted by node,
/// incarnation and sequence, so that events of one process keep their order. Throws
/// `state::error` if an event lacks one of these fields.
void sort_events(boost::json::array& events);

} // namespace pomelorouter::app
