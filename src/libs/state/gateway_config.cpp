#include "state/gateway_config.hpp"

#include "state/enum_table.hpp"

#include <algorithm>

namespace pomelorouter::state
{

namespace
{

constexpr std::array<enum_name<repeat_rule>, 3> rule_names{{
    {repeat_rule::idempotent, "idempotent"},
    {repeat_rule::non_idempotent, "non_idempotent"},
    {repeat_rule::streaming, "streaming"},
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

std::string_view to_string(repeat_rule rule)
{
    return name_of(rule_names, rule);
}

const hosted_model* engine_profile::find_model(std::string_view name) const
{
    return find_named(this->models, name);
}

const gateway_service* gateway_config::find_service(std::string_view name) const
{
    return find_named(this->services, name);
}

} // namespace pomelorouter::state
