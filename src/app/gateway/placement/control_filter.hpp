#pragma once

#include "app/gateway/placement/engine_protocol.hpp"
#include "coordination/response_match.hpp"
#include "transport/http_client.hpp"

namespace pomelorouter::app
{

/// Skips responses that do not belong to an order or a report request.
class control_filter : public transport::response_filter
{
public:
    control_filter(const engine_protocol& order_protocol,
                   coordination::exchange_kind exchange)
        : engine_messages(order_protocol), kind(exchange)
    {
    }

    bool is_answer(const transport::http_response& head, bool is_reused) const override;

private:
    const engine_protocol& engine_messages;
    coordination::exchange_kind kind;
};

} // namespace pomelorouter::app
