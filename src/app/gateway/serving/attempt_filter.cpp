#include "app/gateway/serving/attempt_filter.hpp"

namespace pomelorouter::app
{

attempt_filter::attempt_filter(const request_dialect& platform_dialect,
                               const std::string& attempt)
    : dialect(platform_dialect), attempt_id(attempt)
{
}

/// On a reused connection, a successful response without an attempt id may be a late
/// duplicate response to an earlier request.
bool attempt_filter::is_answer(const transport::http_response& head, bool is_reused) const
{
    if (this->attempt_id.empty())
        return true;
    const std::string response_attempt = this->dialect.read_response(head).attempt_id;
    if (!response_attempt.empty())
        return response_attempt == this->attempt_id;
    constexpr unsigned first_redirection = 300;
    return !is_reused || head.result_int() >= first_redirection;
}

} // namespace pomelorouter::app
