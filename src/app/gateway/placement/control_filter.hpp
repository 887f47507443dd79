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
    explicit control_filter(const engine_protocol& order_protocol)
        : engine_messages(order_protocol)
    {
    }

    bool is_answer(const transport::http_response& head,
                   bool /*is_reused*/) const override
    {
        return !this->engine_messages.is_response_to_caller(head);
    }

private:
    const engine_protocol& engine_messages;
};

} // namespace pomelorouter::app
