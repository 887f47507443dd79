#pragma once

#include "state/process_settings.hpp"

namespace pomelorouter::app
{

/// Runs a node until SIGTERM or SIGINT has stopped it; returns the exit code.
int run_node(const state::process_settings& settings);

} // namespace pomelorouter::app
