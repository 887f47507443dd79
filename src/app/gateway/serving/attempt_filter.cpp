#include "app/gateway/serving/attempt_filter.hpp"

#include "coordination/response_match.hpp"

namespace pomelorouter::app
{

attempt_filter::attempt_filter(const request_dialect& platform_dialect,
                               const std::string& attempt)
    : dialect(platform_dialect), attempt_id(attempt)
{
}

bool attempt_filter::is_answer(const transport::http_response& head, bool is_reused) const
{
    const std::string response_id = this->dialect.read_response(head).attempt_id;
    coordination::response_evidence evidence;
    evidence.status = head.result_int();
    evidence.response_id = response_id;
    evidence.request_id = this->attempt_id;
    evidence.is_reused = is_reused;
    return coordination::match_response(evidence) == coordination::response_match::own;
}

} // namespace pomelorouter::app
