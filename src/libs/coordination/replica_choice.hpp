#pragma once

#include "state/fleet.hpp"
#include "state/node_view.hpp"

#include <cstdint>
#include <vector>

namespace pomelorouter::coordination
{

/// Resident models of one engine of a node view.
struct engine_content
{
    /// Index into `node_view::engines`.
    std::uint32_t index = 0;
    bool leaving = false;
    const std::vector<state::resident_model>* resident = nullptr;
};

/// Sets the replicas of a model and of its adapters in `view`: the engines with the
/// version in the settings or, while no engine that remains has that version ready, the
/// engines with other versions.
void choose_replicas(const std::vector<engine_content>& engines, state::model_view& view);

} // namespace pomelorouter::coordination
