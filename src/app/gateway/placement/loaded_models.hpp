#pragma once

#include "protocol/gateway_heartbeat.hpp"
#include "state/backend_entry.hpp"

#include <string>
#include <vector>

namespace pomelorouter::app
{

/// Adds an adapter to a model. Does nothing if the model is missing or lists the adapter.
void add_adapter(std::vector<state::loaded_model>& models, const std::string& model,
                 const std::string& adapter);
/// Removes an adapter, or the whole model if `adapter` is empty.
void remove_weights(std::vector<state::loaded_model>& models, const std::string& model,
                    const std::string& adapter);
/// Formats the models with their numbers of adapters for the log.
std::string weights_text(const std::vector<state::loaded_model>& models);
/// Compares two announcements of engine weights member by member.
bool is_same(const std::vector<protocol::engine_weights>& left,
             const std::vector<protocol::engine_weights>& right);

} // namespace pomelorouter::app
