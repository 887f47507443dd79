#pragma once

#include "app/commands/exit_code.hpp"

#include <string>
#include <vector>

namespace pomelorouter::app
{

/// `pomelorouter settings`: checks, applies and shows the settings tree.
exit_code settings_command(const std::vector<std::string>& arguments);

} // namespace pomelorouter::app
