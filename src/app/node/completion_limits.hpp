#pragma once

#include "app/node/completion_state.hpp"
#include "coordination/admission.hpp"
#include "state/node_view.hpp"
#include "transport/http_types.hpp"

#include <string_view>

namespace pomelorouter::app
{

/// Fills in the service, the model's settings and the deadline of a parsed request.
/// Throws `state::error` if no service offers the model or a header is invalid.
void resolve_request(completion_state& request, const state::node_view& view,
                     const transport::http_request& http);

/// The limits of the request's service in this node.
coordination::admission_limits limits_of(const completion_state& request,
                                         const state::node_view& view,
                                         std::string_view node_id);

/// Allows the engines again that did not have the model; a newer view may show it.
void forget_not_resident(completion_state& request);

} // namespace pomelorouter::app
