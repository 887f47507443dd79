#pragma once

#include "app/commands/exit_code.hpp"

#include <string>
#include <vector>

namespace pomelorouter::app
{

/// `pomelorouter settings`: checks, applies and shows the settings tree. Throws
/// `state::error`, and `boost::program_options::error` if the arguments are invalid.
exit_code settings_command(const std::vector<std::string>& arguments);

} // namespace pomelorouter::app
