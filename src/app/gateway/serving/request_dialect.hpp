#pragma once

#include "coordination/prompt_cache.hpp"
#include "state/clock.hpp"
#include "transport/http_client.hpp"
#include "transport/http_types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pomelorouter::app
{

/// Metadata in the header of a caller's request.
struct request_metadata
{
    /// The caller's id of this attempt; empty if it gave none.
    std::string attempt_id;
    /// Key of the caller's team; empty if it is missing or malformed.
    std::string key;
    /// Time limit of the caller, from the arrival of the request.
    std::optional<state::milliseconds> time_budget;
    std::string model;
    std::string adapter;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    /// Whether the header has a token count.
    bool has_token_count = false;
    std::vector<coordination::prompt_part> parts;
    /// Id of the last stream event that the caller has received.
    std::optional<std::uint64_t> last_event_id;
    /// Id of the attempt that brought the first event of the stream that the caller
    /// resumes; empty if it gave none.
    std::string resumes;
};

/// Metadata that the gateway adds to a forwarded request.
struct backend_call_metadata
{
    /// Id of the backend server that the request is for; any other refuses it.
    std::string backend_id;
    state::milliseconds time_left{0};
    /// Priority at an engine, 0 is the highest; not set for plain services.
    std::optional<int> priority;
    /// The stream resumes after the event with this id.
    std::optional<std::uint64_t> resume_after;
    /// Name of the caller's team; empty if it has none.
    std::string team;
    /// The configuration has teams, so that the caller's key must not be passed on.
    bool hides_key = false;
};

/// Metadata in the header of a backend server's response.
struct response_metadata
{
    /// The backend server states that it did not run the request.
    bool not_run = false;
    /// Id of the responding backend server; empty if the header is missing.
    std::string backend_id;
    /// Whether the response carries the signature of a backend server.
    bool is_signed = false;
    /// Id of the attempt that the response belongs to; empty if the header is missing.
    std::string attempt_id;
    /// The backend server is leaving and accepts no further requests.
    bool is_leaving = false;
    /// An overloaded backend server asks for no further requests for this long.
    std::optional<state::milliseconds> pause;
    /// Requests per second that the backend server accepts from all gateways together.
    std::optional<double> rate_limit;
    /// The response names a limit that is not a number or is negative.
    bool is_rate_limit_unreadable = false;
};

/// Reads and writes the metadata of requests and responses. All functions are pure.
class request_dialect
{
public:
    virtual ~request_dialect() = default;

    /// Throws `state::error` naming the invalid header field.
    virtual request_metadata
    read_request(const transport::http_request& request) const = 0;
    /// Writes the metadata into the header of a request, as a caller does.
    virtual void write_request(const request_metadata& metadata,
                               transport::http_request& request) const = 0;
    /// Builds the request to a backend server from the caller's, whose body it refers to.
    /// Removes hop-by-hop fields and fields that only the gateway may set.
    virtual transport::forwarded_request::message_type
    backend_request(const transport::http_request& request,
                    const backend_call_metadata& metadata) const = 0;
    virtual response_metadata
    read_response(const transport::http_response& head) const = 0;
    /// Removes the hop-by-hop fields of a backend server's response.
    virtual void remove_connection_fields(transport::http_response& head) const = 0;
};

/// A caller's query for gateway addresses.
struct address_query
{
    std::string zone;
};

/// Parses address queries and readiness checks, and builds the responses.
class directory_dialect
{
public:
    virtual ~directory_dialect() = default;

    /// Returns the query, or nothing if the request is not an address query.
    virtual std::optional<address_query>
    read_query(const transport::http_request& request) const = 0;
    virtual transport::http_response
    make_response(const std::vector<std::string>& addresses,
                  state::milliseconds ttl) const = 0;
    virtual bool is_readiness_check(const transport::http_request& request) const = 0;
};

} // namespace pomelorouter::app
