#include "state/gateway_config.hpp"

#include "state/enum_table.hpp"

#include <algorithm>

namespace pomelorouter::state
{

namespace
{

constexpr std::array<enum_name<route_type>, 3> rule_names{{
    {route_type::idempotent, "idempotent"},
    {route_type::non_idempotent, "non_idempotent"},
    {route_type::streaming, "streaming"},
}};

constexpr std::array<enum_name<allowance_unit>, 2> unit_names{{
    {allowance_unit::requests, "requests"},
    {allowance_unit::tokens, "tokens"},
}};

template <typename Item>
const Item* find_named(const std::vector<Item>& items, std::string_view name)
{
    const auto found =
        std::find_if(items.begin(), items.end(),
                     [name](const Item& item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

std::string_view to_string(route_type type)
{
    return name_of(rule_names, type);
}

std::string_view to_string(allowance_unit unit)
{
    return name_of(unit_names, unit);
}

const hosted_model* engine_profile::find_model(std::string_view name) const
{
    return find_named(this->models, name);
}

bool engine_profile::can_load(std::string_view model, std::string_view adapter) const
{
    const hosted_model* const hosted = this->find_model(model);
    return hosted != nullptr &&
           (adapter.empty() || std::find(hosted->adapters.begin(), hosted->adapters.end(),
                                         adapter) != hosted->adapters.end());
}

const gateway_service* gateway_config::find_service(std::string_view name) const
{
    return find_named(this->services, name);
}

} // namespace pomelorouter::state
