#pragma once

#include "app/commands/exit_code.hpp"
#include "app/gateway/process/platform_adapter.hpp"

#include <string>
#include <vector>

namespace pomelorouter::app
{

/// `pomelorouter gateway`: runs a gateway until the process is told to stop. `adapter`
/// is the interface to the platform and must outlive the call. Throws `state::error` if
/// the settings are missing or invalid.
exit_code gateway_command(const std::vector<std::string>& arguments,
                          const platform_adapter& adapter);

} // namespace pomelorouter::app
