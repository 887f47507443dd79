#pragma once

#include "state/gateway_config.hpp"

#include <map>
#include <string_view>

namespace pomelorouter::coordination
{

/// Lookup table for the keys of the teams of one configuration.
class team_directory
{
public:
    /// `config` must outlive the directory.
    explicit team_directory(const state::gateway_config& config);

    /// Returns the team that holds `key`, or null.
    const state::team* find(std::string_view key) const;
    /// Whether the configuration lists teams, so that requests need a key.
    bool has_teams() const { return this->is_in_use; }

private:
    bool is_in_use;
    std::map<std::string_view, const state::team*> holders;
};

} // namespace pomelorouter::coordination
