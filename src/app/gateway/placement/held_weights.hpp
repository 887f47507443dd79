#pragma once

#include "protocol/gateway_heartbeat.hpp"
#include "state/backend_entry.hpp"

#include <string>
#include <vector>

namespace pomelorouter::app
{

/// Adds an adapter to a model, if the model is there and the adapter is not.
void add_adapter(std::vector<state::loaded_model>& models, const std::string& model,
                 const std::string& adapter);
/// Removes an adapter, or the whole model if `adapter` is empty.
void remove_weights(std::vector<state::loaded_model>& models, const std::string& model,
                    const std::string& adapter);
/// Models with the number of their adapters, for the log.
std::string weights_text(const std::vector<state::loaded_model>& models);
/// Whether two announcements say the same.
bool is_same(const std::vector<protocol::engine_weights>& left,
             const std::vector<protocol::engine_weights>& right);

} // namespace pomelorouter::app
