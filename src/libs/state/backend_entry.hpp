#pragma once

#include "state/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::state
{

/// Phase that a backend server reports for itself.
enum class backend_phase
{
    ready,
    /// The backend server is leaving and accepts no new requests.
    draining,
};

std::string_view to_string(backend_phase phase);

/// A model loaded on an engine, with its loaded adapters.
struct loaded_model
{
    std::string name;
    std::int64_t version = 0;
    std::vector<std::string> adapters;

    bool operator==(const loaded_model&) const = default;
};

/// The latest registration of a backend server.
struct backend_entry
{
    std::string id;
    /// Identifies the start of the process, to distinguish two processes with the same
    /// id; 0 if unknown.
    std::int64_t incarnation = 0;
    std::string service;
    /// `ip:port`.
    std::string address;
    std::string zone;
    /// Version of its software; empty if unknown.
    std::string software;
    int slots = 1;
    backend_phase phase = backend_phase::ready;
    /// Time until the platform removes the process, if announced.
    std::optional<milliseconds> remaining;
    std::vector<loaded_model> models;
    /// Models whose weights are cached in the memory, or on the disk, of the engine's
    /// machine.
    std::vector<std::string> in_memory;
    std::vector<std::string> on_disk;

    /// Returns the model, or null if it is not loaded.
    const loaded_model* find_model(std::string_view name) const;
    bool has_adapter(std::string_view model, std::string_view adapter) const;
    bool operator==(const backend_entry&) const = default;
};

} // namespace pomelorouter::state
