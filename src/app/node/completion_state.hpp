#pragma once

#include "coordination/local_load.hpp"
#include "coordination/prefix_index.hpp"
#include "protocol/caller_api.hpp"
#include "state/attributes.hpp"
#include "state/clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pomelorouter::app
{

/// State of one completion request while it is served.
struct completion_state
{
    protocol::completion_request completion;
    protocol::completion_identity identity;
    std::string service;
    /// `service/model`, the key in `node_view::models`.
    std::string model_key;
    std::string version;
    state::attribute_values attributes;
    coordination::prefix_hashes prompt;
    state::time_point received{};
    state::time_point deadline{};
    std::int64_t expected_tokens = 0;
    bool long_work = false;
    /// Expected waiting time in the engine's queue.
    state::microseconds queue_wait{0};

    /// Number of tokens already delivered to the caller; the next index expected.
    std::int64_t delivered = 0;
    std::string finish_reason;
    /// Whether any byte of the request may have reached an engine that did not refuse it.
    bool may_have_run = false;
    bool caller_gone = false;
    /// The attempt whose tokens are sent to the caller: for a hedged request, the attempt
    /// that received data first. Null until then.
    const void* sender = nullptr;
    /// Engines that must not get this request again.
    std::vector<coordination::engine_slot> tried;
    /// Subset of `tried`: engines that refused the request because the model was not
    /// resident.
    std::vector<coordination::engine_slot> not_resident;
};

} // namespace pomelorouter::app
