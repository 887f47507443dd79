#pragma once

#include "app/commands/exit_code.hpp"

#include <string>
#include <vector>

namespace pomelorouter::app
{

/// `pomelorouter status`: shows what a node knows.
exit_code status_command(const std::vector<std::string>& arguments);

} // namespace pomelorouter::app
