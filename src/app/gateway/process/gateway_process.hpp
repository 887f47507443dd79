#pragma once

#include "app/gateway/process/platform_adapter.hpp"
#include "state/gateway_settings.hpp"

#include <string>

namespace pomelorouter::app
{

/// Runs a gateway until a signal stops it. The settings file is read again when it
/// changes; addresses stay as they were at the start. Throws `state::error` if an address
/// cannot be bound.
void run_gateway(const state::gateway_settings& settings,
                 const std::string& settings_path, const platform_adapter& adapter);

} // namespace pomelorouter::app
