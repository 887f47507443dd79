#pragma once

#include "coordination/plan_workspace.hpp"

namespace pomelorouter::coordination::internal
{

/// Orders engines to unload the models and adapters that the configuration does not list.
void unload_retired_weights(plan_workspace& work);

} // namespace pomelorouter::coordination::internal
