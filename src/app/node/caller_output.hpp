#pragma once

#include "app/node/completion_state.hpp"
#include "app/node/token_sink.hpp"
#include "protocol/refusal.hpp"
#include "transport/http_server.hpp"

#include <string>

namespace pomelorouter::app
{

/// Writes the tokens of a completion to the caller: as a stream of events, or collected
/// in one response.
class caller_output : public token_sink
{
public:
    caller_output(transport::http_exchange& exchange, const completion_state& request);

    void add(const std::string& text) override;
    boost::asio::awaitable<void> flush() override;
    /// Writes the finish reason and ends the response.
    boost::asio::awaitable<void> finish();
    /// Ends a stream that has begun with an error event; otherwise responds with the
    /// refusal.
    boost::asio::awaitable<void> fail(const protocol::refusal& refusal);

private:
    boost::asio::awaitable<void> begin();

    transport::http_exchange& exchange;
    const completion_state& request;
    /// Text of a response that is not streamed, or the events that are not written yet.
    std::string pending;
};

} // namespace pomelorouter::app
