#pragma once

#include "state/backend_entry.hpp"
#include "state/gateway_config.hpp"

#include <string>
#include <string_view>

namespace pomelorouter::app
{

/// Parses the documents that the operator and the backend servers write. All functions
/// are pure and throw `state::error` with the document and the path in it.
class document_reader
{
public:
    virtual ~document_reader() = default;

    /// Whether the record with this key holds the configuration.
    virtual bool is_config_key(std::string_view key) const = 0;
    virtual state::gateway_config read_config(std::string_view document) const = 0;
    virtual state::backend_entry read_backend(std::string_view id,
                                              std::string_view document) const = 0;
};

} // namespace pomelorouter::app
