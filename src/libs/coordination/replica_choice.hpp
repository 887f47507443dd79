#pragma once

#include "state/fleet.hpp"
#include "state/node_view.hpp"

#include <cstdint>
#include <vector>

namespace pomelorouter::coordination
{

/// What one engine of a node view holds.
struct engine_content
{
    /// Index into `node_view::engines`.
    std::uint32_t index = 0;
    bool leaving = false;
    const std::vector<state::resident_model>* resident = nullptr;
};

/// Fills in the replicas of a model and its adapters: those of the version that the
/// settings name or, while no engine that stays has it ready, those of other versions.
void choose_replicas(const std::vector<engine_content>& engines, state::model_view& view);

} // namespace pomelorouter::coordination
