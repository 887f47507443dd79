#pragma once

#include <string_view>

namespace pomelorouter::coordination
{

/// What a request on a connection to a backend server is.
enum class exchange_kind
{
    caller_request,
    order,
    report,
};

std::string_view to_string(exchange_kind kind);

/// What is known of a response, and of the request that waits for one.
struct response_evidence
{
    exchange_kind kind = exchange_kind::caller_request;
    unsigned status = 0;
    /// Id that the response repeats; empty if it has none.
    std::string_view response_id;
    /// Id that the request carries; empty if it has none.
    std::string_view request_id;
    /// The connection has carried an earlier request, whose response may be repeated.
    bool is_reused = false;
};

/// What a response may be taken for.
enum class response_match
{
    /// The response to this request.
    own,
    /// A response to a request of the same kind on this connection, perhaps an earlier
    /// one.
    same_kind,
    /// Not the response to this request.
    other,
};

std::string_view to_string(response_match match);

/// Decides what a response on a connection may be taken for.
response_match match_response(const response_evidence& evidence);

} // namespace pomelorouter::coordination
