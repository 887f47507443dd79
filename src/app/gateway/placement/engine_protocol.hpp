#pragma once

#include "state/backend_entry.hpp"
#include "transport/http_types.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace pomelorouter::app
{

enum class order_operation
{
    load,
    unload,
};

/// An order to one engine.
struct engine_order_request
{
    order_operation operation = order_operation::load;
    std::string model;
    /// Empty for the model itself.
    std::string adapter;
    std::string holder;
    std::uint64_t fencing_token = 0;
    /// The engine refuses the order unless it has accepted this many before.
    std::optional<std::int64_t> expected_sequence;
    /// Id of the process that the order is for; any other refuses it.
    std::string engine_id;
};

/// Response of an engine to an order.
enum class order_response
{
    /// The engine carries the order out.
    accepted,
    /// The engine is already in the requested state.
    already_done,
    /// The engine is executing another order, or has accepted orders since
    /// `expected_sequence`.
    conflict,
    /// The engine has seen a higher fencing token.
    fenced,
    /// Another process listens on the address.
    misdirected,
    refused,
};

std::string_view to_string(order_response answer);

/// Status report of an engine.
struct engine_report
{
    std::int64_t order_sequence = 0;
    /// The engine is executing an order, so `models` may change.
    bool is_busy = false;
    std::vector<state::loaded_model> models;
};

/// Builds the requests to engines and parses their responses. All functions are pure.
class engine_protocol
{
public:
    virtual ~engine_protocol() = default;

    virtual transport::http_request order(const engine_order_request& request) const = 0;
    virtual order_response
    read_order_response(const transport::http_response& response) const = 0;
    virtual transport::http_request report_request() const = 0;
    /// Throws `state::error`.
    virtual engine_report read_report(const transport::http_response& response) const = 0;
    /// Id of the caller's request that a response repeats; empty if it has none, like the
    /// responses to orders and report requests.
    virtual std::string request_id(const transport::http_response& head) const = 0;
};

} // namespace pomelorouter::app
