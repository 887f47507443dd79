#pragma once

#include "app/commands/exit_code.hpp"
#include "app/gateway/process/platform_adapter.hpp"

#include <string>
#include <vector>

namespace pomelorouter::app
{

/// Runs a gateway on the platform that `adapter` speaks to.
exit_code gateway_command(const std::vector<std::string>& arguments,
                          const platform_adapter& adapter);

} // namespace pomelorouter::app
