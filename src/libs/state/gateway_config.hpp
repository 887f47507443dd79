#pragma once

#include "state/clock.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::state
{

/// Whether requests of a route may be sent again.
enum class route_type
{
    /// A request may run any number of times.
    idempotent,
    /// A request runs at most once each time the client sends it.
    non_idempotent,
    /// The response is a stream of events; a request runs at most once unless the route
    /// is resumable.
    streaming,
};

std::string_view to_string(route_type type);

/// Share of a route's requests that goes to one service.
struct service_share
{
    std::string service;
    double weight = 1.0;
};

/// One route: requests to `host` whose path begins with `path_prefix`.
struct gateway_route
{
    std::string name;
    std::string host;
    std::string path_prefix;
    route_type type = route_type::non_idempotent;
    /// Limit of the time from the arrival of a request to the end of its response.
    milliseconds timeout{30000};
    /// Target of the time to the response, or to the first event of a stream.
    milliseconds target_latency{1000};
    /// Target of the longest pause between events; zero for no target.
    milliseconds target_gap{0};
    /// Priority of the requests; 0 is the highest.
    int priority = 5;
    /// Maximum number of backend servers to which one request is sent.
    int max_attempts = 1;
    bool resumable = false;
    /// Whether requests need no key although the configuration has teams.
    bool anonymous = false;
    std::vector<service_share> services;

    /// Whether a request may be sent again although it may have run already.
    bool may_retry() const
    {
        return this->type == route_type::idempotent ||
               (this->type == route_type::streaming && this->resumable);
    }
    bool is_stream() const { return this->type == route_type::streaming; }
};

/// A model that the engines of a service can load.
struct hosted_model
{
    std::string name;
    double weight_mb = 0.0;
    /// Load times from the weight store, from the disk and from the memory of the
    /// engine's machine.
    milliseconds store_load{0};
    milliseconds disk_load{0};
    milliseconds memory_load{0};
    std::vector<std::string> adapters;
    double adapter_mb = 0.0;
};

/// Capacity of each engine of a service, and the models it can load.
struct engine_profile
{
    int slots = 1;
    std::int64_t kv_tokens = 0;
    double weight_mb = 0.0;
    int adapter_slots = 0;
    /// Loads per second that the weight store allows for all engines together.
    double loads_per_s = 0.0;
    std::vector<hosted_model> models;

    /// Returns the model, or null if there is none of that name.
    const hosted_model* find_model(std::string_view name) const;
    /// Whether the engines can load the model and, unless `adapter` is empty, the
    /// adapter.
    bool can_load(std::string_view model, std::string_view adapter) const;
};

/// A group of interchangeable backend servers.
struct gateway_service
{
    std::string name;
    int max_connections = 100;
    /// Set only for services whose backend servers are model engines.
    std::optional<engine_profile> engine;
};

/// What the allowance of a team counts.
enum class allowance_unit
{
    requests,
    /// Tokens of the prompt and of the output.
    tokens,
};

std::string_view to_string(allowance_unit unit);

/// Requests or tokens that a team may use over all gateways together.
struct team_allowance
{
    allowance_unit unit = allowance_unit::requests;
    /// Units per second; zero for no limit.
    double per_s = 0.0;
    /// Units beyond the rate.
    double burst = 0.0;
    /// Tokens that a request without a token count is counted as.
    double raw_tokens = 0.0;

    bool is_limited() const { return this->per_s > 0.0; }
    bool operator==(const team_allowance&) const = default;
};

/// A team whose callers identify themselves by its keys.
struct team
{
    std::string name;
    std::vector<std::string> keys;
    /// Takes precedence over the priority of the route; 0 is the highest.
    std::optional<int> priority;
    team_allowance allowance;
};

/// Limits on client requests and connections.
struct client_limits
{
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
};

/// One version of the operator's configuration of routes and services.
struct gateway_config
{
    std::int64_t version = 0;
    std::vector<gateway_route> routes;
    std::vector<gateway_service> services;
    /// Whether requests need the key of a team. A list of teams may be empty.
    bool requires_keys = false;
    std::vector<team> teams;
    client_limits limits;

    /// Returns the service, or null if there is none of that name.
    const gateway_service* find_service(std::string_view name) const;
};

using gateway_config_ptr = std::shared_ptr<const gateway_config>;

} // namespace pomelorouter::state
