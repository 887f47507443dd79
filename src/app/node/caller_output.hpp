#pragma once

#include "app/node/completion_state.hpp"
#include "app/node/token_sink.hpp"
#include "protocol/refusal.hpp"
#include "transport/http_server.hpp"

#include <string>

namespace pomelorouter::app
{

/// Collects or streams the tokens for the caller.
class caller_output : public token_sink
{
public:
    caller_output(transport::http_exchange& exchange, const completion_state& request);

    void add(const std::string& text) override;
    boost::asio::awaitable<void> flush() override;
    boost::asio::awaitable<void> finish();
    /// Ends a stream that has begun with an error event, or refuses the request.
    boost::asio::awaitable<void> fail(const protocol::refusal& refusal);

private:
    boost::asio::awaitable<void> begin();

    transport::http_exchange& exchange;
    const completion_state& request;
    /// The whole text, or the events that are not written yet.
    std::string pending;
};

} // namespace pomelorouter::app
