#include "app/node/engine_attempt.hpp"

#include "protocol/engine_api.hpp"
#include "protocol/sse_parser.hpp"
#include "state/error.hpp"
#include "state/log.hpp"
#include "transport/http_error.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using state::attribute;
using state::error_code;
using state::now;

namespace
{

constexpr std::string_view done_event = "[DONE]";
constexpr state::milliseconds cancel_timeout{500};
/// Maximum size of a response that is forwarded to a caller.
constexpr std::size_t max_response_bytes = 64 * 1024 * 1024;
/// Maximum size of the body of an error response.
constexpr std::size_t max_error_body_bytes = 64 * 1024;

transport::http_call_options call_options(const state::attribute_values& attributes)
{
    transport::http_call_options options;
    options.connect_timeout =
        state::milliseconds(attributes.get(attribute::connect_timeout_ms));
    options.progress_timeout =
        state::milliseconds(attributes.get(attribute::progress_timeout_ms));
    options.max_body_bytes = max_response_bytes;
    return options;
}

/// Asks an engine to stop a request whose result is no longer needed. The engine may be
/// the unresponsive one: after a timeout its idle connections have been dropped, so this
/// request opens a new one, and a failure is ignored.
asio::awaitable<void> cancel_request(transport::http_client& client, std::string address,
                                     std::string id)
{
    transport::http_call_options options;
    options.connect_timeout = cancel_timeout;
    options.progress_timeout = cancel_timeout;
    const transport::http_request request =
        transport::make_request(transport::verb::delete_, "/v1/requests/" + id);
    try
    {
        co_await client.fetch(address, request, options);
    }
    catch (const state::error&)
    {
        client.close_idle_connections(address);
    }
}

} // namespace

attempt_counters::attempt_counters(const std::string& kind,
                                   state::counter_registry& counters)
    : sent(counters.count(kind + "_attempts_total", "attempts on engines")),
      failed(counters.count(kind + "_attempts_failed_total",
                            "attempts on an engine that ended before the last token")),
      tokens(counters.count(kind + "_tokens_total", "tokens received from engines")),
      wrong_chunks(counters.count(kind + "_wrong_chunks_total",
                                  "chunks that are malformed, of another request or at "
                                  "a wrong index")),
      cancelled(counters.count(kind + "_cancels_total",
                               "requests that engines were told to stop"))
{
}

engine_attempt::engine_attempt(completion_state& request_ref, const chosen_engine& chosen,
                               engine_chooser& engines, transport::http_client& http,
                               token_sink& caller, attempt_counters& attempt_counts)
    : request(request_ref),
      engine(chosen),
      chooser(engines),
      client(http),
      output(caller),
      counters(attempt_counts)
{
}

engine_attempt::~engine_attempt()
{
    if (this->call)
        this->chooser.engine_loads().finish(*this->call);
}

asio::awaitable<attempt_result> engine_attempt::run(asio::any_io_executor executor)
{
    this->call = this->chooser.begin_call(this->request, this->engine.slot, now());
    this->counters.sent.add();
    this->first_index = this->request.delivered;
    asio::awaitable<attempt_result> serving = this->serve();
    auto token =
        asio::bind_cancellation_slot(this->cancellation.slot(), asio::use_awaitable);
    const attempt_result result =
        co_await asio::co_spawn(executor, std::move(serving), std::move(token));
    if (this->is_cancelled && !this->request.caller_gone)
        this->chooser.engine_loads().give_up(*this->call, now());
    this->chooser.engine_loads().finish(*this->call);
    this->call.reset();
    const bool may_run_on =
        result == attempt_result::failed || result == attempt_result::caller_gone;
    if (may_run_on && this->request_may_have_been_sent)
    {
        this->counters.cancelled.add();
        asio::co_spawn(
            executor,
            cancel_request(this->client, this->engine.address, this->request.identity.id),
            asio::detached);
    }
    co_return result;
}

bool engine_attempt::cancel()
{
    if (!this->call || this->is_cancelled ||
        !this->chooser.engine_loads().calls()[*this->call].waiting)
        return false;
    this->is_cancelled = true;
    this->cancellation.emit(asio::cancellation_type::terminal);
    return true;
}

bool engine_attempt::should_move(state::time_point at) const
{
    return this->call && !this->is_cancelled &&
           this->chooser.should_move(*this->call, at);
}

bool engine_attempt::is_late(state::time_point at) const
{
    return this->call && !this->is_cancelled && this->chooser.is_late(*this->call, at);
}

bool engine_attempt::has_lost() const
{
    return this->request.sender != nullptr && this->request.sender != this;
}

transport::http_request engine_attempt::make_request() const
{
    protocol::engine_completion body;
    body.model = this->request.completion.model;
    body.version = this->request.version;
    body.adapter = this->request.completion.adapter;
    body.prompt = this->request.completion.prompt;
    body.max_tokens = this->request.completion.max_tokens;
    body.resume_from = this->request.delivered;
    body.priority = this->request.attributes.get(attribute::priority);
    transport::http_request http =
        transport::make_request(transport::verb::post, "/v1/completions",
                                protocol::format_engine_completion(body));
    http.set("X-Request-Id", this->request.identity.id);
    return http;
}

asio::awaitable<attempt_result> engine_attempt::serve()
{
    const transport::http_request http = this->make_request();
    transport::http_call_options options = call_options(this->request.attributes);
    options.progress_timeout = this->first_chunk_limit(options.progress_timeout);
    try
    {
        const auto answer =
            co_await this->client.open(this->engine.address, http, options);
        this->request_may_have_been_sent = true;
        if (answer->head().result() != transport::status::ok)
        {
            const std::string body = co_await answer->read_all(max_error_body_bytes);
            co_return this->refusal_of(body);
        }
        this->request.may_have_run = true;
        this->has_head = true;
        co_return co_await this->forward_chunks(*answer);
    }
    catch (const state::error& failure)
    {
        co_return this->on_failure(failure);
    }
    catch (const boost::system::system_error&)
    {
        // The attempt was cancelled between two operations; the request may have been
        // sent.
        this->request_may_have_been_sent = true;
        this->request.may_have_run = true;
        co_return this->request.caller_gone ? attempt_result::caller_gone
                                            : attempt_result::failed;
    }
}

state::milliseconds
engine_attempt::first_chunk_limit(state::milliseconds progress_timeout) const
{
    // Requests queued before this one delay its first chunk, which does not mean that the
    // connection is dead. The waiting time is an estimate, so twice as much is allowed.
    const auto queued =
        std::chrono::duration_cast<state::milliseconds>(this->request.queue_wait);
    const auto left =
        std::chrono::duration_cast<state::milliseconds>(this->request.deadline - now());
    return std::max(progress_timeout, std::min(progress_timeout + 2 * queued, left));
}

attempt_result engine_attempt::refusal_of(const std::string& body)
{
    const std::string type = protocol::parse_backend_error(body);
    if (type == "model_not_resident")
    {
        this->chooser.on_not_resident(this->request, this->engine.slot, now());
        return attempt_result::not_resident;
    }
    if (type == "leaving")
    {
        this->chooser.engine_loads().at(this->engine.slot).leaving = true;
        return attempt_result::leaving;
    }
    if (type == "queue_full")
    {
        this->chooser.on_full(this->engine.slot, now());
        return attempt_result::queue_full;
    }
    // Any other error does not tell whether the request was run.
    this->request.may_have_run = true;
    this->counters.failed.add();
    return attempt_result::failed;
}

attempt_result engine_attempt::on_failure(const state::error& failure)
{
    const auto* http = dynamic_cast<const transport::http_error*>(&failure);
    if (http == nullptr)
        this->counters.wrong_chunks.add();
    const bool left = http == nullptr || http->request_may_have_been_sent();
    this->request_may_have_been_sent = this->request_may_have_been_sent || left;
    this->request.may_have_run = this->request.may_have_run || left;
    if (this->request.caller_gone)
        return attempt_result::caller_gone;
    if (this->request.sender == this && !this->request.finish_reason.empty())
        return attempt_result::finished; // only the end of the body is missing
    this->counters.failed.add();
    if (this->is_cancelled)
        return attempt_result::failed;
    // A network fault that silenced this connection may have broken the idle ones too.
    if (failure.code() == error_code::timed_out)
        this->client.close_idle_connections(this->engine.address);
    // An engine that accepted the request but has not started it yet is busy, not faulty;
    // the slow engine detector compares it with the other engines.
    const bool is_queued = failure.code() == error_code::timed_out && this->has_head &&
                           this->request.delivered == this->first_index;
    if (!is_queued)
        this->chooser.on_failure(this->engine.slot, now());
    state::log_event(state::log_level::warning, "attempt_failed")
        .field("request", this->request.identity.id)
        .field("engine", this->engine.id)
        .field("error", failure.what());
    return attempt_result::failed;
}

asio::awaitable<attempt_result>
engine_attempt::forward_chunks(transport::http_call& answer)
{
    protocol::sse_parser parser;
    const state::milliseconds progress_timeout(
        this->request.attributes.get(attribute::progress_timeout_ms));
    while (auto piece = co_await answer.read_some())
    {
        if (this->has_lost())
            co_return attempt_result::failed;
        this->request.sender = this;
        std::int64_t tokens = 0;
        bool is_expected = true;
        parser.feed(*piece);
        while (auto data = parser.next())
        {
            is_expected = this->accept_chunk(*data, tokens);
            if (!is_expected)
                break;
        }
        this->chooser.on_tokens(this->request, *this->call, tokens, now());
        this->counters.tokens.add(tokens);
        if (tokens > 0)
        {
            answer.set_progress_timeout(progress_timeout);
            try
            {
                co_await this->output.flush();
            }
            catch (const boost::system::system_error&)
            {
                this->request.caller_gone = true;
            }
        }
        if (this->request.caller_gone)
            co_return attempt_result::caller_gone;
        if (!is_expected)
        {
            this->counters.wrong_chunks.add();
            this->counters.failed.add();
            this->chooser.on_failure(this->engine.slot, now());
            co_return attempt_result::failed;
        }
        this->chooser.engine_loads().wait_again(*this->call, now());
    }
    if (!this->request.finish_reason.empty())
        co_return attempt_result::finished;
    this->counters.failed.add();
    this->chooser.on_failure(this->engine.slot, now());
    co_return attempt_result::failed;
}

bool engine_attempt::accept_chunk(std::string_view data, std::int64_t& tokens)
{
    if (data == done_event)
        return true;
    protocol::engine_chunk chunk;
    try
    {
        chunk = protocol::parse_engine_chunk(data);
    }
    catch (const state::error&)
    {
        // The error is not rethrown, because the tokens before it in the same read must
        // still be sent to the caller.
        return false;
    }
    if (chunk.id != this->request.identity.id || chunk.index > this->request.delivered)
        return false;
    if (chunk.index < this->request.delivered)
        return true; // already delivered by an earlier attempt
    if (!chunk.finish_reason.empty())
    {
        this->request.finish_reason = chunk.finish_reason;
        return true;
    }
    ++this->request.delivered;
    ++tokens;
    this->output.add(chunk.text);
    return true;
}

} // namespace pomelorouter::app
