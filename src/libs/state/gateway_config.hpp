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

/// What may be repeated of the requests of a route.
enum class repeat_rule
{
    /// May run any number of times.
    idempotent,
    /// Runs at most once for each attempt of a client.
    non_idempotent,
    /// A stream of events; runs at most once unless the route is resumable.
    streaming,
};

std::string_view to_string(repeat_rule rule);

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
    repeat_rule rule = repeat_rule::non_idempotent;
    /// Longest time from the arrival of a request to the end of its answer.
    milliseconds timeout{30000};
    /// Time to the answer, or to the first event, that the operator aims for.
    milliseconds target_latency{1000};
    /// Longest pause between events that the operator aims for; zero if it has none.
    milliseconds target_gap{0};
    /// Rank of the requests, 0 first.
    int priority = 5;
    /// Largest number of backend servers that one request may be sent to.
    int max_attempts = 1;
    bool resumable = false;
    std::vector<service_share> services;

    /// Whether a request that may have run may be sent again.
    bool may_repeat() const
    {
        return this->rule == repeat_rule::idempotent ||
               (this->rule == repeat_rule::streaming && this->resumable);
    }
    bool is_stream() const { return this->rule == repeat_rule::streaming; }
};

/// A model that the engines of a service may hold.
struct hosted_model
{
    std::string name;
    double weight_mb = 0.0;
    /// Time to load from the weight store, from the engine's disk and from its memory.
    milliseconds store_load{0};
    milliseconds disk_load{0};
    milliseconds memory_load{0};
    std::vector<std::string> adapters;
    double adapter_mb = 0.0;
};

/// What every engine of a service has.
struct engine_profile
{
    int slots = 1;
    std::int64_t kv_tokens = 0;
    double weight_mb = 0.0;
    int adapter_slots = 0;
    /// Loads that the weight store allows, over all engines.
    double loads_per_s = 0.0;
    std::vector<hosted_model> models;

    /// Returns the model, or null.
    const hosted_model* find_model(std::string_view name) const;
};

/// A group of backend servers that do the same work.
struct gateway_service
{
    std::string name;
    int max_connections = 100;
    /// Set for services of model engines.
    std::optional<engine_profile> engine;
};

/// Bounds on what a client may send.
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
    client_limits limits;

    /// Returns the service, or null.
    const gateway_service* find_service(std::string_view name) const;
};

using gateway_config_ptr = std::shared_ptr<const gateway_config>;

} // namespace pomelorouter::state
