#pragma once

#include "coordination/team_directory.hpp"
#include "state/gateway_config.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::coordination
{

/// Lookup table for the routes and the keys of one configuration.
class route_table
{
public:
    explicit route_table(state::gateway_config_ptr source);

    /// Returns the route of `host` with the longest prefix of `path`, or null. Ignores
    /// the port and the case of the host.
    const state::gateway_route* find(std::string_view host, std::string_view path) const;
    const state::gateway_config& config() const { return *this->source; }
    const team_directory& teams() const { return this->keys; }

private:
    state::gateway_config_ptr source;
    team_directory keys;
    /// Routes of each host, longest prefix first.
    std::map<std::string, std::vector<const state::gateway_route*>, std::less<>> hosts;
};

/// Chooses one of the services of a route by weight; `draw` is in [0, 1). Returns null if
/// no service has a positive weight.
const state::service_share* choose_service(const state::gateway_route& route,
                                           double draw);

} // namespace pomelorouter::coordination
