#pragma once

#include "state/attributes.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::state
{

/// A fine-tuned variant of a model, which an engine loads in addition to the model.
struct adapter_settings
{
    std::string name;
    std::string version;
    std::int64_t bytes = 0;
    attribute_values attributes;
};

/// A model that a service offers.
struct model_settings
{
    std::string service;
    std::string name;
    std::string version;
    std::int64_t bytes = 0;
    /// Regions or `region/zone` names where the model may run; empty means anywhere.
    std::vector<std::string> places;
    attribute_values attributes;
    std::map<std::string, adapter_settings, std::less<>> adapters;
};

enum class service_kind
{
    models,
    plain,
};

std::string_view to_string(service_kind kind);

/// A service: either a set of models or a plain HTTP service.
struct service_settings
{
    std::string name;
    service_kind kind = service_kind::models;
    std::vector<std::string> places;
    attribute_values attributes;
    std::map<std::string, model_settings, std::less<>> models;
};

/// An availability zone of a region.
struct zone_settings
{
    std::string region;
    std::string name;
    attribute_values attributes;
    /// One-way network delay to other availability zones, in microseconds.
    std::map<std::string, std::int64_t, std::less<>> distance_us;
};

/// The limits of the platform's weight store.
struct store_settings
{
    double loads_per_s = 2.0;
    std::int64_t loads_at_once = 24;
    std::int64_t adapters_at_once = 40;
};

/// A settings tree with all inheritance resolved.
struct settings
{
    attribute_values attributes;
    std::map<std::string, service_settings, std::less<>> services;
    std::map<std::string, zone_settings, std::less<>> zones;
    store_settings store;

    /// Returns the model of a service, or null if there is none of that name.
    const model_settings* find_model(std::string_view service,
                                     std::string_view model) const;
    /// Returns the one-way delay between two availability zones, in microseconds; a
    /// default of 1000 if the settings have none.
    std::int64_t distance_us(std::string_view from, std::string_view to) const;
};

/// Validates a settings tree and resolves inheritance. Throws `error` with the JSON
/// pointer of the invalid value.
settings resolve_settings(const boost::json::value& tree, const std::string& place);

} // namespace pomelorouter::state
