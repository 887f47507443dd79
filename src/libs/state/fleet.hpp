#pragma once

#include "state/clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::state
{

enum class instance_kind
{
    node,
    engine,
    service,
};

std::string_view to_string(instance_kind kind);

enum class instance_state
{
    live,
    leaving,
};

std::string_view to_string(instance_state state);

/// An entry of the platform's list of instances.
struct instance
{
    std::string id;
    instance_kind kind = instance_kind::node;
    /// `ip:port` for callers of a node, or of the backend server.
    std::string address;
    /// `ip:port` for other nodes; empty for backend servers.
    std::string peer_address;
    std::string zone;
    instance_state state = instance_state::live;
    std::uint64_t incarnation = 0;
    /// Name of the plain service that a `service` instance runs; empty for others.
    std::string service;

    bool operator==(const instance&) const = default;
};

/// A model version or adapter held in an engine's memory.
struct resident_model
{
    std::string model;
    std::string version;
    /// Empty for the model itself.
    std::string adapter;
    std::int64_t bytes = 0;
    bool ready = false;

    bool operator==(const resident_model&) const = default;
};

/// What an engine says of its memory.
struct engine_inventory
{
    std::string engine;
    std::uint64_t incarnation = 0;
    bool checks_fence = false;
    std::int64_t capacity_bytes = 0;
    std::int64_t used_bytes = 0;
    std::uint64_t fence = 0;
    std::string role;
    std::vector<resident_model> resident;

    struct order_status
    {
        std::string order_id;
        /// `running`, `done` or `failed`.
        std::string status;

        bool operator==(const order_status&) const = default;
    };
    std::vector<order_status> orders;

    bool operator==(const engine_inventory&) const = default;
};

/// What an engine says of its load, some time ago.
struct load_report
{
    std::int64_t age_ms = 0;
    std::int64_t running = 0;
    std::int64_t queued = 0;
    std::int64_t slots = 0;
    double tokens_per_s = 0.0;
};

} // namespace pomelorouter::state
