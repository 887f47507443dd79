#pragma once

#include "app/commands/exit_code.hpp"

#include <string>
#include <vector>

namespace pomelorouter::app
{

/// `pomelorouter status`: prints the state that a node reports. Throws `state::error`,
/// and `boost::program_options::error` if the arguments are invalid.
exit_code status_command(const std::vector<std::string>& arguments);

} // namespace pomelorouter::app
