#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace pomelorouter::state
{

/// Kinds of failure that the system reports.
enum class error_code
{
    invalid_argument,
    invalid_json,
    unknown_key,
    wrong_type,
    out_of_range,
    missing_key,
    unknown_reference,
    version_conflict,
    too_large,
    malformed_frame,
    unsupported_version,
    malformed_record,
    log_unavailable,
    log_truncated,
    rate_limited,
    connect_failed,
    connection_lost,
    timed_out,
    refused_by_backend,
    wrong_answer,
    unauthorized,
    not_found,
    method_not_allowed,
    no_backend_server,
    model_not_resident,
    prompt_quarantined,
    overloaded,
    deadline_unreachable,
    draining,
    settings_unknown,
    key_in_use,
    key_reused,
    key_expired,
    outcome_unknown,
    answer_not_kept,
    io_error,
    internal,
};

/// Returns the name used in logs and in responses.
std::string_view to_string(error_code code);

/// A failure with its kind, the place where it was found, and what was wrong or expected
/// there.
class error : public std::runtime_error
{
public:
    error(error_code code, std::string place, std::string expected);

    error_code code() const { return this->code_value; }
    /// File, JSON pointer, argument, header or address that the failure concerns.
    const std::string& place() const { return this->place_value; }
    /// What was wrong or expected at the place.
    const std::string& expected() const { return this->expected_value; }

private:
    error_code code_value;
    std::string place_value;
    std::string expected_value;
};

} // namespace pomelorouter::state
