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
    /// `ip:port` at which a node accepts callers or a backend server accepts nodes.
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

/// A model version or adapter in an engine's memory.
struct resident_model
{
    std::string model;
    std::string version;
    /// Empty for the model itself.
    std::string adapter;
    std::int64_t bytes = 0;
    /// False while the engine is loading it.
    bool ready = false;

    bool operator==(const resident_model&) const = default;
};

/// Memory contents and orders, as reported by an engine.
struct engine_inventory
{
    std::string engine;
    std::uint64_t incarnation = 0;
    /// Whether the engine rejects orders with an older fencing token than `fence`.
    bool checks_fence = false;
    std::int64_t capacity_bytes = 0;
    std::int64_t used_bytes = 0;
    /// Highest fencing token that the engine has accepted.
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

/// Load of an engine, as measured by the engine `age_ms` ago.
struct load_report
{
    std::int64_t age_ms = 0;
    std::int64_t running = 0;
    std::int64_t queued = 0;
    std::int64_t slots = 0;
    double tokens_per_s = 0.0;
};

} // namespace pomelorouter::state
