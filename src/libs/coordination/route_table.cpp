#include "coordination/route_table.hpp"

#include <algorithm>
#include <cctype>

namespace pomelorouter::coordination
{

namespace
{

std::string normalize_host(std::string_view host)
{
    std::string result(host.substr(0, host.rfind(':')));
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

} // namespace

route_table::route_table(state::gateway_config_ptr config_source)
    : source(std::move(config_source)), keys(*this->source)
{
    for (const state::gateway_route& route : this->source->routes)
        this->hosts[normalize_host(route.host)].push_back(&route);
    for (auto& [host, routes] : this->hosts)
    {
        std::stable_sort(
            routes.begin(), routes.end(),
            [](const state::gateway_route* left, const state::gateway_route* right)
            { return left->path_prefix.size() > right->path_prefix.size(); });
    }
}

const state::gateway_route* route_table::find(std::string_view host,
                                              std::string_view path) const
{
    const auto found = this->hosts.find(normalize_host(host));
    if (found == this->hosts.end())
        return nullptr;
    const auto& routes = found->second;
    const auto match = std::find_if(
        routes.begin(), routes.end(),
        [path](const state::gateway_route* route)
        { return path.substr(0, route->path_prefix.size()) == route->path_prefix; });
    return match == routes.end() ? nullptr : *match;
}

const state::service_share* choose_service(const state::gateway_route& route, double draw)
{
    double total = 0.0;
    for (const state::service_share& share : route.services)
        total += std::max(share.weight, 0.0);
    double position = draw * total;
    const state::service_share* last = nullptr;
    for (const state::service_share& share : route.services)
    {
        if (share.weight <= 0.0)
            continue;
        last = &share;
        if (position < share.weight)
            return last;
        position -= share.weight;
    }
    return last;
}

} // namespace pomelorouter::coordination
