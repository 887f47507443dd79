#include "state/fleet.hpp"

#include "state/enum_table.hpp"

namespace pomelorouter::state
{

namespace
{

constexpr std::array<enum_name<instance_kind>, 3> kind_names{{
    {instance_kind::node, "node"},
    {instance_kind::engine, "engine"},
    {instance_kind::service, "service"},
}};

constexpr std::array<enum_name<instance_state>, 2> state_names{{
    {instance_state::live, "live"},
    {instance_state::leaving, "leaving"},
}};

} // namespace

std::string_view to_string(instance_kind kind)
{
    return name_of(kind_names, kind);
}

std::string_view to_string(instance_state state)
{
    return name_of(state_names, state);
}

} // namespace pomelorouter::state
