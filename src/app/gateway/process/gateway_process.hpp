#pragma once

#include "app/gateway/process/platform_adapter.hpp"
#include "state/gateway_settings.hpp"

#include <string>

namespace pomelorouter::app
{

/// Runs a gateway until a signal stops it. Reloads the settings file when it changes,
/// except for the addresses. Throws `state::error` if an address cannot be bound.
void run_gateway(const state::gateway_settings& settings,
                 const std::string& settings_path, const platform_adapter& adapter);

} // namespace pomelorouter::app
