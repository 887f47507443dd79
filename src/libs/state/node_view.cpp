#include "state/node_view.hpp"

#include "state/enum_table.hpp"

namespace pomelorouter::state
{

namespace
{

constexpr std::array<enum_name<readiness>, 5> readiness_names{{
    {readiness::ready, "ready"},
    {readiness::settings_unknown, "settings_unknown"},
    {readiness::catching_up, "catching_up"},
    {readiness::isolated, "isolated"},
    {readiness::draining, "draining"},
}};

} // namespace

std::string_view to_string(readiness value)
{
    return name_of(readiness_names, value);
}

} // namespace pomelorouter::state
