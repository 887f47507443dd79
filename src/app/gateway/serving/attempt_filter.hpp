#pragma once

#include "app/gateway/serving/request_dialect.hpp"
#include "transport/http_client.hpp"

#include <string>

namespace pomelorouter::app
{

/// Accepts only the responses to one attempt. Keeps references to both arguments.
class attempt_filter : public transport::response_filter
{
public:
    attempt_filter(const request_dialect& platform_dialect, const std::string& attempt);

    bool is_answer(const transport::http_response& head, bool is_reused) const override;

private:
    const request_dialect& dialect;
    const std::string& attempt_id;
};

} // namespace pomelorouter::app
