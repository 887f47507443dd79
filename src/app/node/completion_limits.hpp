#pragma once

#include "app/node/completion_state.hpp"
#include "coordination/admission.hpp"
#include "state/node_view.hpp"
#include "transport/http_types.hpp"

#include <string_view>

namespace pomelorouter::app
{

/// Fills in the service, the model's settings and the deadline of a parsed request.
/// Throws `state::error` if the settings are unknown, no service offers the model, the
/// service is ambiguous, or a header is invalid.
void resolve_request(completion_state& request, const state::node_view& view,
                     const transport::http_request& http);

/// This node's share of the limits of the request's service and model.
coordination::admission_limits limits_of(const completion_state& request,
                                         const state::node_view& view,
                                         std::string_view node_id);

/// Removes the engines that did not have the model from the tried ones; they may have
/// loaded it since.
void clear_not_resident(completion_state& request);

} // namespace pomelorouter::app
