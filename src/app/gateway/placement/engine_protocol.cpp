#include "app/gateway/placement/engine_protocol.hpp"

#include "state/enum_table.hpp"

#include <array>

namespace pomelorouter::app
{

namespace
{

constexpr std::array<state::enum_name<order_response>, 6> order_response_names{{
    {order_response::accepted, "accepted"},
    {order_response::already_done, "already_done"},
    {order_response::conflict, "conflict"},
    {order_response::fenced, "fenced"},
    {order_response::misdirected, "misdirected"},
    {order_response::refused, "refused"},
}};

} // namespace

std::string_view to_string(order_response answer)
{
    return name_of(order_response_names, answer);
}

} // namespace pomelorouter::app
