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

/// The replicas of one model or adapter.
struct replica_set
{
    /// Indexes into `node_view::engines`.
    std::vector<std::uint32_t> engines;
};

/// A model that callers can request, with its settings and replicas.
struct model_view
{
    /// Owned by `node_view::current_settings`.
    const model_settings* settings = nullptr;
    replica_set replicas;
    std::map<std::string, replica_set, std::less<>> adapters;
};

/// A plain service with its backend servers.
struct service_view
{
    /// Owned by `node_view::current_settings`.
    const service_settings* settings = nullptr;
    /// Indexes into `node_view::services`.
    std::vector<std::uint32_t> backends;
};

/// A node that may be listed in the response to the address query.
struct node_address
{
    std::string id;
    std::string address;
    std::string zone;
    std::uint64_t incarnation = 0;
    bool ready = false;
    std::int64_t distance_us = 0;
};

/// Whether a node is ready, or the reason why not; reported by `/readyz`.
enum class readiness
{
    ready,
    settings_unknown,
    catching_up,
    isolated,
    draining,
};

std::string_view to_string(readiness value);

/// Immutable snapshot of the control thread's state, which the other threads read.
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
