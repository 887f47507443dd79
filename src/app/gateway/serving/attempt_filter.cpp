#include "app/gateway/serving/attempt_filter.hpp"

namespace pomelorouter::app
{

attempt_filter::attempt_filter(const request_dialect& words, const std::string& attempt)
    : dialect(words), attempt_id(attempt)
{
}

bool attempt_filter::is_answer(const transport::http_response& head) const
{
    const std::string answered = this->dialect.read_answer(head).attempt_id;
    return answered.empty() || this->attempt_id.empty() || answered == this->attempt_id;
}

} // namespace pomelorouter::app
