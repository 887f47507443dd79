#pragma once

#include "app/node/completion_state.hpp"
#include "app/node/engine_chooser.hpp"
#include "app/node/token_sink.hpp"
#include "state/counters.hpp"
#include "transport/http_client.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace pomelorouter::app
{

/// Counters of attempts on engines.
struct attempt_counters
{
    /// `kind` is the prefix of the counter names.
    attempt_counters(const std::string& kind, state::counter_registry& counters);

    state::counter& sent;
    state::counter& failed;
    state::counter& tokens;
    state::counter& wrong_chunks;
    state::counter& cancelled;
};

/// How one attempt on one engine ended.
enum class attempt_result
{
    finished,
    /// Connection error, timeout or invalid response, or cancelled by this node.
    failed,
    /// This result and the next two: the engine reported that it did not run the request.
    not_resident,
    leaving,
    queue_full,
    caller_gone,
};

/// One attempt to serve a request on one engine: sends the request, validates each chunk
/// and forwards the tokens.
class engine_attempt
{
public:
    engine_attempt(completion_state& request, const chosen_engine& engine,
                   engine_chooser& chooser, transport::http_client& client,
                   token_sink& output, attempt_counters& counters);
    ~engine_attempt();
    engine_attempt(const engine_attempt&) = delete;
    engine_attempt& operator=(const engine_attempt&) = delete;

    boost::asio::awaitable<attempt_result> run(boost::asio::any_io_executor executor);
    /// Cancels the attempt if it is waiting for the engine. Returns whether it did so.
    bool cancel();
    bool was_cancelled() const { return this->is_cancelled; }
    /// Whether the first token is later than usual.
    bool is_late(state::time_point now) const;
    /// Whether another attempt received data first, so that this one is obsolete.
    bool has_lost() const;
    /// Whether the call is stalled and should be continued on another engine.
    bool should_move(state::time_point now) const;

private:
    boost::asio::awaitable<attempt_result> serve();
    boost::asio::awaitable<attempt_result> forward_chunks(transport::http_call& call);
    /// Processes one event and adds its tokens to `tokens`. Returns false if the event is
    /// malformed, belongs to another request or has an unexpected index.
    bool accept_chunk(std::string_view data, std::int64_t& tokens);
    state::milliseconds first_chunk_limit(state::milliseconds progress_timeout) const;
    attempt_result refusal_of(const std::string& body);
    attempt_result on_failure(const state::error& failure);
    transport::http_request make_request() const;

    completion_state& request;
    chosen_engine engine;
    engine_chooser& chooser;
    transport::http_client& client;
    token_sink& output;
    attempt_counters& counters;
    boost::asio::cancellation_signal cancellation;
    std::optional<coordination::call_number> call;
    bool is_cancelled = false;
    bool request_may_have_been_sent = false;
    bool has_head = false;
    /// Tokens delivered before this attempt.
    std::int64_t first_index = 0;
};

} // namespace pomelorouter::app
