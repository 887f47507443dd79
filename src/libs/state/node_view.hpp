#pragma once

#include "state/clock.hpp"
#include "state/fleet.hpp"
#include "state/settings.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pomelorouter::state
{

/// A backend server as the serving thread sees it.
struct backend_view
{
    std::string id;
    std::string address;
    std::string zone;
    std::uint64_t incarnation = 0;
    /// One-way delay from this node, in microseconds.
    std::int64_t distance_us = 0;
    bool leaving = false;
    load_report load;
    time_point load_received{};
};

/// The replicas of one model or adapter: indexes into `node_view::engines`.
struct replica_set
{
    std::vector<std::uint32_t> engines;
};

/// A model that can be asked for, with its settings and replicas.
struct model_view
{
    /// Owned by `node_view::current_settings`.
    const model_settings* settings = nullptr;
    replica_set replicas;
    std::map<std::string, replica_set, std::less<>> adapters;
};

/// A plain service with its backend servers: indexes into `node_view::services`.
struct service_view
{
    const service_settings* settings = nullptr;
    std::vector<std::uint32_t> backends;
};

/// Another node that may be named in the answer to the address query.
struct node_address
{
    std::string id;
    std::string address;
    std::string zone;
    std::uint64_t incarnation = 0;
    bool ready = false;
    std::int64_t distance_us = 0;
};

/// Why a node is not ready, for `/readyz`.
enum class readiness
{
    ready,
    settings_unknown,
    catching_up,
    isolated,
    draining,
};

std::string_view to_string(readiness value);

/// Immutable snapshot of all that the control thread knows, for the other threads.
struct node_view
{
    readiness ready = readiness::settings_unknown;
    std::uint64_t settings_version = 0;
    std::uint64_t settings_offset = 0;
    /// Null while no settings are known.
    std::shared_ptr<const settings> current_settings;
    std::vector<backend_view> engines;
    std::vector<backend_view> services;
    /// Key: `service/model`.
    std::map<std::string, model_view, std::less<>> models;
    std::map<std::string, service_view, std::less<>> plain_services;
    /// Live nodes, this one included, nearest first.
    std::vector<node_address> nodes;
};

} // namespace pomelorouter::state
