#pragma once

#include "app/commands/exit_code.hpp"

#include <string>
#include <vector>

namespace pomelorouter::app
{

/// `pomelorouter node`: runs a serving process until it is told to stop. Throws
/// `state::error` if the settings are missing or invalid.
exit_code node_command(const std::vector<std::string>& arguments);

} // namespace pomelorouter::app
