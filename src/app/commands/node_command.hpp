#pragma once

#include "app/commands/exit_code.hpp"

#include <string>
#include <vector>

namespace pomelorouter::app
{

/// `pomelorouter node`: runs a serving process.
exit_code node_command(const std::vector<std::string>& arguments);

} // namespace pomelorouter::app
