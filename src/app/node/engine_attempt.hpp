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
    /// `kind` begins the names of the counters.
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
    /// Connection, silence or wrong bytes; or cancelled by this node.
    failed,
    /// The engine said that it has not run the request.
    not_resident,
    leaving,
    queue_full,
    caller_gone,
};

/// One request to one engine: sends it, checks each chunk and passes the tokens on.
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
    /// Ends the attempt if it waits for the engine. Returns whether it did so.
    bool cancel();
    bool was_cancelled() const { return this->is_cancelled; }
    /// Whether the first token is later than usual.
    bool is_late(state::time_point now) const;
    /// Whether another attempt was first to send a token.
    bool has_lost() const;
    /// Whether the call hangs and another engine should go on with it.
    bool should_move(state::time_point now) const;

private:
    boost::asio::awaitable<attempt_result> serve();
    boost::asio::awaitable<attempt_result> forward_chunks(transport::http_call& call);
    /// Takes in one event; returns whether the stream is still the expected one.
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
    bool request_may_have_left = false;
    bool has_head = false;
    /// Tokens delivered before this attempt.
    std::int64_t first_index = 0;
};

} // namespace pomelorouter::app
