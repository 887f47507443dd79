#include "app/gateway/serving/relayed_request.hpp"

#include "app/gateway/serving/call_record.hpp"
#include "state/error.hpp"
#include "state/log.hpp"

#include <utility>

// What a response of a backend server says about it, and its forwarding to the caller.

namespace pomelorouter::app
{

namespace asio = boost::asio;
using coordination::call_result;
using state::error_code;
using state::now;

namespace
{

/// Responses up to this size are read completely before they are forwarded, so that the
/// request can still be retried if the response breaks off.
constexpr std::size_t max_buffered_bytes = 256 * 1024;
/// A larger event is treated as an endless response, and ends the call with an error.
constexpr std::size_t max_event_bytes = 256 * 1024;

/// Smaller incomplete events are part of the memory of each request.
constexpr std::size_t small_event_bytes = 16 * 1024;

} // namespace

void relayed_request::apply_backend_notices(const state::backend_entry& entry,
                                            const response_metadata& response)
{
    if (response.pause)
    {
        this->shared.loads.on_pause(
            now(), coordination::backend_chooser::process_key(entry), *response.pause);
        state::log_event(state::log_level::info, "backend_paused")
            .field("request", this->metadata.attempt_id)
            .field("backend", entry.id)
            .field("pause_ms", response.pause->count());
    }
    this->apply_rate_limit(entry, response);
    if (!response.is_leaving ||
        !this->shared.directory.on_leaving_answer(now(), entry.id, entry.incarnation))
        return;
    state::log_event(state::log_level::info, "backend_changed")
        .field("request", this->metadata.attempt_id)
        .field("backend", entry.id)
        .field("change", "leaving");
    this->shared.backends_changed.notify();
    this->shared.on_backend_leaving();
}

void relayed_request::apply_rate_limit(const state::backend_entry& entry,
                                       const response_metadata& response)
{
    if (response.is_rate_limit_unreadable)
    {
        state::log_event(state::log_level::warning, "backend_limit_unreadable")
            .field("request", this->metadata.attempt_id)
            .field("backend", entry.id);
        return;
    }
    // A response without an id may be an earlier one that is repeated, and another
    // process may answer at the address.
    const bool is_from_other =
        !response.backend_id.empty() && response.backend_id != entry.id;
    if (response.attempt_id.empty() || is_from_other)
        return;
    if (!this->shared.limits.on_response(
            now(), coordination::backend_chooser::process_key(entry),
            response.rate_limit))
        return;
    state::log_event(state::log_level::info, "backend_limit_changed")
        .field("request", this->metadata.attempt_id)
        .field("backend", entry.id)
        .field("per_s", response.rate_limit ? std::to_string(*response.rate_limit)
                                            : std::string("none"));
    this->shared.loads_changed.notify();
    this->shared.on_limit_changed();
}

/// Reads and discards the rest of a response so that its connection can be reused. A
/// failure does not change the result, which the header determines.
asio::awaitable<void> relayed_request::discard_rest(transport::http_call& backend)
{
    try
    {
        co_await backend.read_all(max_error_body_bytes);
    }
    catch (const transport::http_error& failure)
    {
        this->last_problem += "; " + std::string(failure.what());
    }
}

asio::awaitable<call_end> relayed_request::relay_whole(transport::http_call& backend)
{
    std::string body;
    while (auto piece = co_await backend.read_some())
    {
        body += *piece;
        // Without memory to keep it, the response is passed on as it comes.
        if (body.size() > max_buffered_bytes ||
            !this->response_memory.resize(body.size()))
            co_return co_await this->relay_chunks(backend, std::move(body));
    }
    this->on_answer_begun();
    if (this->is_aborted())
        co_return call_end::failed;
    transport::http_response response = backend.head();
    this->dialect.remove_connection_fields(response);
    response.body() = std::move(body);
    co_await this->exchange.respond(std::move(response));
    co_return call_end::completed;
}

asio::awaitable<call_end> relayed_request::relay_chunks(transport::http_call& backend,
                                                        std::string first)
{
    co_await this->begin_stream(backend.head());
    co_await this->exchange.write_piece(std::move(first));
    this->response_memory.release();
    while (auto piece = co_await backend.read_some())
        co_await this->exchange.write_piece(std::move(*piece));
    co_await this->exchange.end_stream();
    co_return call_end::completed;
}

std::string relayed_request::split_events(const std::string& piece)
{
    std::string result = this->events.feed(piece);
    if (this->events.incomplete_size() > max_event_bytes)
    {
        throw transport::http_error(
            error_code::too_large, this->last_backend,
            "an event exceeds " + std::to_string(max_event_bytes) + " bytes", true);
    }
    const std::size_t held = this->events.incomplete_event().size();
    if (this->response_memory.resize(held > small_event_bytes ? held : 0))
        return result;
    // Without memory to hold it, the event is passed on as it comes. The stream can then
    // not be resumed before the event is complete.
    this->response_memory.release();
    return result + this->events.take_incomplete_event();
}

asio::awaitable<call_end> relayed_request::relay_events(transport::http_call& backend,
                                                        call_record& record)
{
    const bool can_resume = this->route->may_retry();
    const bool is_whole = !this->stream_begun;
    this->watch_progress(this->stall_limit());
    this->events.discard_incomplete_event();
    while (auto piece = co_await backend.read_some())
    {
        if (this->is_aborted())
            co_return call_end::broken_off;
        std::string known = this->split_events(*piece);
        if (!known.empty())
        {
            this->on_progress();
            this->on_answer_begun();
            record.on_events(this->events.events());
        }
        // If the stream cannot be resumed, incomplete events are forwarded immediately.
        std::string output = can_resume ? std::move(known) : std::move(*piece);
        if (output.empty())
            continue;
        if (!this->stream_begun)
        {
            this->demand.software = this->last_software;
            if (can_resume && this->metadata.resumes.empty())
                this->shared.on_stream_begun(this->metadata.attempt_id,
                                             this->last_software);
            co_await this->begin_stream(backend.head());
        }
        co_await this->exchange.write_piece(std::move(output));
    }
    if (!this->events.incomplete_event().empty())
    {
        this->last_problem = "the stream ended inside an event";
        record.set_result(call_result::failed);
        co_return this->stream_begun ? call_end::broken_off : call_end::failed;
    }
    if (!this->stream_begun)
        co_await this->begin_stream(backend.head());
    if (is_whole)
        record.on_stream_end(this->events.events());
    co_await this->exchange.end_stream();
    co_return call_end::completed;
}

asio::awaitable<void> relayed_request::begin_stream(const transport::http_response& head)
{
    this->stream_begun = true;
    transport::http_response response;
    response.base() = head.base();
    this->dialect.remove_connection_fields(response);
    response.erase(transport::field::content_length);
    co_await this->exchange.begin_stream(std::move(response));
}

} // namespace pomelorouter::app
