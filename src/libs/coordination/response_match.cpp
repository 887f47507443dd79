#include "coordination/response_match.hpp"

#include "state/enum_table.hpp"

#include <array>

namespace pomelorouter::coordination
{

namespace
{

constexpr std::array<state::enum_name<exchange_kind>, 3> kind_names{{
    {exchange_kind::caller_request, "caller_request"},
    {exchange_kind::order, "order"},
    {exchange_kind::report, "report"},
}};

constexpr std::array<state::enum_name<response_match>, 3> match_names{{
    {response_match::own, "own"},
    {response_match::same_kind, "same_kind"},
    {response_match::other, "other"},
}};

} // namespace

std::string_view to_string(exchange_kind kind)
{
    return name_of(kind_names, kind);
}

std::string_view to_string(response_match match)
{
    return name_of(match_names, match);
}

/// Backend servers repeat the id of a request in its response, so a response with an id
/// belongs to the request that carried this id. Without one, only the order on the
/// connection tells: before the first response, no earlier one can be repeated.
response_match match_response(const response_evidence& evidence)
{
    constexpr unsigned first_final_status = 200;
    if (evidence.status < first_final_status)
        return response_match::other;
    if (!evidence.response_id.empty())
    {
        return evidence.response_id == evidence.request_id ? response_match::own
                                                           : response_match::other;
    }
    if (!evidence.is_reused)
        return response_match::own;
    // Connections for reports carry nothing else.
    return evidence.kind == exchange_kind::report ? response_match::same_kind
                                                  : response_match::other;
}

} // namespace pomelorouter::coordination
