#pragma once

#include "state/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::state
{

/// What a backend server says of itself.
enum class backend_phase
{
    ready,
    /// It leaves and takes no new work.
    draining,
};

std::string_view to_string(backend_phase phase);

/// A model in the memory of an engine, with the adapters that lie beside it.
struct loaded_model
{
    std::string name;
    std::int64_t version = 0;
    std::vector<std::string> adapters;

    bool operator==(const loaded_model&) const = default;
};

/// The newest description of one backend server, as it registered itself.
struct backend_entry
{
    std::string id;
    /// Start of the process, which tells two processes with one id apart; 0 if unknown.
    std::int64_t incarnation = 0;
    std::string service;
    /// `ip:port`.
    std::string address;
    std::string zone;
    int slots = 1;
    backend_phase phase = backend_phase::ready;
    /// Time until the process is removed, where it was told so.
    std::optional<milliseconds> remaining;
    std::vector<loaded_model> models;
    /// Models whose weights lie in the memory or on the disk of the engine's machine.
    std::vector<std::string> in_memory;
    std::vector<std::string> on_disk;

    /// Returns the model, or null.
    const loaded_model* find_model(std::string_view name) const;
    bool has_adapter(std::string_view model, std::string_view adapter) const;
    bool operator==(const backend_entry&) const = default;
};

} // namespace pomelorouter::state
