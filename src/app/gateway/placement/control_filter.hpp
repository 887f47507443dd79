#pragma once

#include "app/gateway/placement/engine_protocol.hpp"
#include "transport/http_client.hpp"

namespace pomelorouter::app
{

/// Skips late responses to callers' requests on a connection that an order or a report
/// request reuses.
class control_filter : public transport::response_filter
{
public:
    explicit control_filter(const engine_protocol& words) : dialect(words) {}

    bool is_answer(const transport::http_response& head,
                   bool /*is_reused*/) const override
    {
        return !this->dialect.answers_caller(head);
    }

private:
    const engine_protocol& dialect;
};

} // namespace pomelorouter::app
