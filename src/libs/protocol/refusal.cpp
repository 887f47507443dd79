#include "protocol/refusal.hpp"

#include "state/enum_table.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace pomelorouter::protocol
{

using state::error_code;

namespace
{

constexpr std::array<state::enum_name<run_state>, 3> run_names{{
    {run_state::not_run, "not_run"},
    {run_state::run, "run"},
    {run_state::unknown, "unknown"},
}};

constexpr unsigned bad_request = 400;
constexpr unsigned unauthorized = 401;
constexpr unsigned not_found = 404;
constexpr unsigned method_not_allowed = 405;
constexpr unsigned conflict = 409;
constexpr unsigned payload_too_large = 413;
constexpr unsigned unprocessable = 422;
constexpr unsigned request_timeout = 408;
constexpr unsigned misdirected = 421;
constexpr unsigned too_many_requests = 429;
constexpr unsigned internal_error = 500;
constexpr unsigned bad_gateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gateway_timeout = 504;

} // namespace

std::string_view to_string(run_state value)
{
    return name_of(run_names, value);
}

unsigned status_of(error_code code)
{
    switch (code)
    {
    case error_code::invalid_argument:
    case error_code::invalid_json:
    case error_code::unknown_key:
    case error_code::wrong_type:
    case error_code::out_of_range:
    case error_code::missing_key:
    case error_code::unknown_reference:
    case error_code::malformed_frame:
        return bad_request;
    case error_code::unauthorized:
        return unauthorized;
    case error_code::not_found:
        return not_found;
    case error_code::method_not_allowed:
        return method_not_allowed;
    case error_code::version_conflict:
    case error_code::key_in_use:
    case error_code::outcome_unknown:
    case error_code::answer_not_kept:
        return conflict;
    case error_code::too_large:
        return payload_too_large;
    case error_code::key_reused:
    case error_code::key_expired:
        return unprocessable;
    case error_code::rate_limited:
    case error_code::overloaded:
        return too_many_requests;
    case error_code::timed_out:
        return gateway_timeout;
    case error_code::connection_lost:
    case error_code::wrong_answer:
    case error_code::refused_by_backend:
        return bad_gateway;
    case error_code::connect_failed:
    case error_code::log_unavailable:
    case error_code::no_backend_server:
    case error_code::model_not_resident:
    case error_code::prompt_quarantined:
    case error_code::deadline_unreachable:
    case error_code::draining:
    case error_code::settings_unknown:
        return unavailable;
    default:
        return internal_error;
    }
}

bool promises_not_run(unsigned status)
{
    return status == request_timeout || status == misdirected ||
           status == too_many_requests || status == unavailable;
}

refusal::refusal(const state::error& failure)
    : code(failure.code()),
      message(failure.what()),
      place(failure.place()),
      expected(failure.expected())
{
}

std::string refusal::to_json() const
{
    boost::json::object body;
    body["type"] = to_string(this->code);
    body["message"] = this->message;
    body["run"] = to_string(this->run);
    if (!this->place.empty())
        body["place"] = this->place;
    if (!this->expected.empty())
        body["expected"] = this->expected;
    if (this->retry_after)
        body["retry_after_ms"] = this->retry_after->count();
    return boost::json::serialize(boost::json::object{{"error", std::move(body)}});
}

} // namespace pomelorouter::protocol
