#pragma once

#include "app/commands/exit_code.hpp"

#include <boost/json/array.hpp>

#include <string>
#include <vector>

namespace pomelorouter::app
{

/// `pomelorouter timeline`: merges the time lines of several nodes.
exit_code timeline_command(const std::vector<std::string>& arguments);

/// Puts events in order of wall time; events of one process keep their own order where
/// the wall time is equal.
void sort_events(boost::json::array& events);

} // namespace pomelorouter::app
