#include "app/gateway/placement/control_filter.hpp"

namespace pomelorouter::app
{

bool control_filter::is_answer(const transport::http_response& head, bool is_reused) const
{
    const std::string response_id = this->engine_messages.request_id(head);
    coordination::response_evidence evidence;
    evidence.kind = this->kind;
    evidence.status = head.result_int();
    evidence.response_id = response_id;
    evidence.is_reused = is_reused;
    return coordination::match_response(evidence) != coordination::response_match::other;
}

} // namespace pomelorouter::app
