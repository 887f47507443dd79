#include "state/error.hpp"

#include "state/enum_table.hpp"

#include <utility>

namespace pomelorouter::state
{

namespace
{

constexpr std::array<enum_name<error_code>, 37> error_names{{
    {error_code::invalid_argument, "invalid_argument"},
    {error_code::invalid_json, "invalid_json"},
    {error_code::unknown_key, "unknown_key"},
    {error_code::wrong_type, "wrong_type"},
    {error_code::out_of_range, "out_of_range"},
    {error_code::missing_key, "missing_key"},
    {error_code::unknown_reference, "unknown_reference"},
    {error_code::version_conflict, "version_conflict"},
    {error_code::too_large, "too_large"},
    {error_code::malformed_frame, "malformed_frame"},
    {error_code::unsupported_version, "unsupported_version"},
    {error_code::malformed_record, "malformed_record"},
    {error_code::log_unavailable, "log_unavailable"},
    {error_code::log_truncated, "log_truncated"},
    {error_code::rate_limited, "rate_limited"},
    {error_code::connect_failed, "connect_failed"},
    {error_code::connection_lost, "connection_lost"},
    {error_code::timed_out, "timed_out"},
    {error_code::refused_by_backend, "refused_by_backend"},
    {error_code::wrong_answer, "wrong_answer"},
    {error_code::unauthorized, "unauthorized"},
    {error_code::not_found, "not_found"},
    {error_code::method_not_allowed, "method_not_allowed"},
    {error_code::no_backend_server, "no_backend_server"},
    {error_code::model_not_resident, "model_not_resident"},
    {error_code::prompt_quarantined, "prompt_quarantined"},
    {error_code::overloaded, "overloaded"},
    {error_code::deadline_unreachable, "deadline_unreachable"},
    {error_code::draining, "draining"},
    {error_code::settings_unknown, "settings_unknown"},
    {error_code::key_in_use, "key_in_use"},
    {error_code::key_reused, "key_reused"},
    {error_code::key_expired, "key_expired"},
    {error_code::outcome_unknown, "outcome_unknown"},
    {error_code::answer_not_kept, "answer_not_kept"},
    {error_code::io_error, "io_error"},
    {error_code::internal, "internal"},
}};

std::string format_message(error_code code, const std::string& place,
                           const std::string& expected)
{
    std::string message{to_string(code)};
    if (!place.empty())
        message += " at " + place;
    if (!expected.empty())
        message += ": " + expected;
    return message;
}

} // namespace

std::string_view to_string(error_code code)
{
    return name_of(error_names, code);
}

error::error(error_code code, std::string place, std::string expected)
    : std::runtime_error(format_message(code, place, expected)),
      code_value(code),
      place_value(std::move(place)),
      expected_value(std::move(expected))
{
}

} // namespace pomelorouter::state
