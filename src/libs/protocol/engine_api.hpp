#pragma once

#include "state/fleet.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace pomelorouter::protocol
{

/// Body of a completion request to an engine.
struct engine_completion
{
    std::string model;
    std::string version;
    std::string adapter;
    std::string prompt;
    std::int64_t max_tokens = 0;
    /// Number of tokens the caller has already received; the engine continues with the
    /// next one.
    std::int64_t resume_from = 0;
    std::int64_t priority = 0;
};

std::string format_engine_completion(const engine_completion& request);
engine_completion parse_engine_completion(std::string_view body);

/// One server-sent event of an engine's stream.
struct engine_chunk
{
    std::string id;
    std::int64_t index = 0;
    std::string text;
    /// Set in the last chunk only, which has no text.
    std::string finish_reason;
};

std::string format_engine_chunk(const engine_chunk& chunk);
/// Parses the data of one event. Throws `state::error` if it is not a valid chunk.
engine_chunk parse_engine_chunk(std::string_view data);

/// Operation that an order requests from an engine.
enum class order_step
{
    load,
    unload,
    set_role,
};

std::string_view to_string(order_step step);
/// Parses a step. Throws `state::error` (`out_of_range`) with `place` if it is unknown.
order_step parse_order_step(std::string_view name, const std::string& place);

/// An order to an engine. The engine executes an order id at most once.
struct engine_order
{
    std::string order_id;
    std::uint64_t fence = 0;
    order_step step = order_step::load;
    std::string model;
    std::string version;
    std::string adapter;
    std::int64_t bytes = 0;
    std::string role;
};

std::string format_engine_order(const engine_order& order);
engine_order parse_engine_order(std::string_view body);

std::string format_inventory(const state::engine_inventory& inventory);
state::engine_inventory parse_inventory(std::string_view body);

std::string format_load_report(const state::load_report& report);
state::load_report parse_load_report(std::string_view body);

/// Formats the body of an error response of a backend server, for example with the type
/// `model_not_resident`.
std::string format_backend_error(std::string_view type);
/// Returns the error type, or an empty string if the body is not an error response.
std::string parse_backend_error(std::string_view body);

} // namespace pomelorouter::protocol
