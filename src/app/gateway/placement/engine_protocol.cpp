#include "app/gateway/placement/engine_protocol.hpp"

#include "state/enum_table.hpp"

#include <array>

namespace pomelorouter::app
{

namespace
{

constexpr std::array<state::enum_name<order_answer>, 6> answer_names{{
    {order_answer::accepted, "accepted"},
    {order_answer::already_done, "already_done"},
    {order_answer::conflict, "conflict"},
    {order_answer::fenced, "fenced"},
    {order_answer::misdirected, "misdirected"},
    {order_answer::refused, "refused"},
}};

} // namespace

std::string_view to_string(order_answer answer)
{
    return name_of(answer_names, answer);
}

} // namespace pomelorouter::app
