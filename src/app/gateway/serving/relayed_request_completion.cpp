#include "app/gateway/serving/relayed_request.hpp"

#include "protocol/refusal.hpp"
#include "state/error.hpp"
#include "state/log.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

// The final response to a request for which no call to a backend server completed.

namespace pomelorouter::app
{

namespace asio = boost::asio;
using coordination::choice_failure;
using protocol::promises_not_run;
using protocol::run_state;
using state::error_code;
using state::milliseconds;
using state::since;

namespace
{

/// Retry-After of refusals with a short-lived cause, and of those that wait for a model
/// to be loaded.
constexpr milliseconds short_retry_after{200};
constexpr milliseconds long_retry_after{1000};
constexpr double ms_per_s = 1000.0;

std::string format_seconds(milliseconds value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f",
                  static_cast<double>(value.count()) / ms_per_s);
    return text.data();
}

} // namespace

asio::awaitable<void> relayed_request::finish(call_end last)
{
    const abort_reason reason = this->aborted->reason;
    if (reason == abort_reason::client_closed)
    {
        this->log_end("client_closed", 0);
        this->count_stream_end(false);
        co_return;
    }
    if (this->stream_begun)
    {
        this->log_end("broken_off", 0);
        this->count_stream_end(false);
        throw state::error(error_code::connection_lost, this->last_backend,
                           "the stream ended early and could not be resumed");
    }
    if (this->error_answer)
    {
        const unsigned code = this->error_answer->result_int();
        const bool wrongly_claims_not_run =
            promises_not_run(code) && !this->route->may_retry();
        if (!wrongly_claims_not_run)
        {
            this->log_end("error_answer", code);
            this->dialect.remove_connection_fields(*this->error_answer);
            co_await this->exchange.respond(std::move(*this->error_answer));
            co_return;
        }
    }
    if (this->quarantine)
    {
        this->last_problem = to_string(*this->quarantine);
        this->last_failure = choice_failure::quarantined;
    }
    const run_state run = this->may_have_run ? run_state::unknown : run_state::not_run;
    if (reason == abort_reason::stopping)
    {
        co_await this->refuse(this->may_have_run ? error_code::connection_lost
                                                 : error_code::draining,
                              "the gateway exits", run);
        co_return;
    }
    if (reason == abort_reason::deadline_passed)
    {
        co_await this->refuse(this->may_have_run ? error_code::timed_out
                                                 : error_code::deadline_unreachable,
                              "no response before the deadline", run);
        co_return;
    }
    if (this->may_have_run)
    {
        co_await this->refuse(error_code::connection_lost, this->last_problem, run);
        co_return;
    }
    const bool is_missing = this->last_failure == choice_failure::model_missing ||
                            this->last_failure == choice_failure::adapter_missing;
    error_code code =
        is_missing ? error_code::model_not_resident : error_code::no_backend_server;
    if (this->last_failure == choice_failure::overloaded ||
        this->last_failure == choice_failure::paused ||
        this->last_failure == choice_failure::limited)
        code = error_code::overloaded;
    if (this->last_failure == choice_failure::stopping)
        code = error_code::draining;
    if (this->last_failure == choice_failure::quarantined)
        code = error_code::prompt_quarantined;
    const bool was_refused = last == call_end::not_run && this->attempts > 0;
    if (!was_refused && !this->quarantine &&
        this->last_failure != choice_failure::overloaded)
        this->last_problem = to_string(this->last_failure);
    co_await this->refuse(code, this->last_problem, run);
}

asio::awaitable<void> relayed_request::refuse(error_code code,
                                              const std::string& expected, run_state run)
{
    protocol::refusal refusal(
        state::error(code, this->route == nullptr ? "" : this->route->name, expected));
    refusal.run = run;
    const unsigned status = protocol::status_of(code);
    transport::http_response response;
    if (promises_not_run(status))
        refusal.retry_after = this->retry_after();
    response = transport::json_response(static_cast<transport::status>(status),
                                        refusal.to_json());
    if (refusal.retry_after)
        response.set(transport::field::retry_after, format_seconds(*refusal.retry_after));
    if (code == error_code::unauthorized)
        response.set(transport::field::www_authenticate, "Bearer");
    this->log_end(to_string(code), status);
    co_await this->exchange.respond(std::move(response));
}

milliseconds relayed_request::retry_after() const
{
    const bool is_missing = this->last_failure == choice_failure::model_missing;
    milliseconds after = is_missing ? long_retry_after : short_retry_after;
    if (this->last_failure == choice_failure::overloaded)
    {
        // An earlier retry would find the same queues.
        return milliseconds(static_cast<std::int64_t>(coordination::retry_after_ms(
            static_cast<double>(this->queue_time.count()),
            static_cast<double>(this->time_left().count()), this->shared.random.unit())));
    }
    // Jitter spreads the retries of callers that were refused at the same time.
    double spread = 0.75 + 0.5 * this->shared.random.unit();
    const bool is_limited = this->last_failure == choice_failure::limited;
    if (this->last_failure == choice_failure::paused || is_limited)
    {
        // No retry before the first backend server accepts requests again.
        const auto left =
            std::chrono::duration_cast<milliseconds>(this->available_at - state::now());
        after = std::max(left, is_limited ? short_retry_after : milliseconds(1));
        spread = 1.0 + 0.1 * this->shared.random.unit();
    }
    if (this->allowance_wait)
    {
        after = *this->allowance_wait;
        spread = 1.0 + 0.1 * this->shared.random.unit();
    }
    if (this->last_failure == choice_failure::quarantined)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(
            this->quarantine->until - state::now());
        after = std::max(left, long_retry_after);
        spread = 1.0 + 0.1 * this->shared.random.unit();
    }
    return std::chrono::duration_cast<milliseconds>(after * spread);
}

void relayed_request::count_stream_end(bool is_complete)
{
    if (!this->stream_begun || !this->route->is_stream())
        return;
    const bool is_long =
        since(this->started) * 2 >
        std::chrono::duration_cast<milliseconds>(this->deadline - this->started);
    this->shared.streams_begun.add();
    if (is_complete)
        this->shared.streams_completed.add();
    else if (this->aborted->reason == abort_reason::deadline_passed)
        this->shared.streams_cut_at_deadline.add();
    if (!is_long)
        return;
    this->shared.long_streams.add();
    if (is_complete)
        this->shared.long_streams_completed.add();
}

void relayed_request::log_end(std::string_view outcome, unsigned status)
{
    if (!this->is_logged)
        return;
    const state::time_point::duration limit = this->deadline == state::time_point()
                                                  ? state::time_point::duration::zero()
                                                  : this->deadline - this->started;
    state::log_event(state::log_level::info, "request")
        .field("request", this->metadata.attempt_id)
        .field("route", this->route == nullptr ? "" : this->route->name)
        .field("team", this->team == nullptr ? "" : this->team->name)
        .field("service", this->demand.service)
        .field("weights", this->demand.weights())
        .field("prompt_tokens", std::uint64_t{this->metadata.prompt_tokens})
        .field("output_tokens", std::uint64_t{this->metadata.output_tokens})
        .field("resumes", this->metadata.resumes)
        .field("resume_after", this->metadata.last_event_id.value_or(0))
        .field("software", this->last_software)
        .field("outcome", outcome)
        .field("status", static_cast<std::int64_t>(status))
        .field("backend", this->last_backend)
        .field("attempts", this->attempts)
        .field("events", this->events.events())
        .field("rank", this->route == nullptr ? -1 : this->rank())
        .field("queue_ms", static_cast<std::int64_t>(this->engine_queue_ms))
        .field("queue_limit_ms", static_cast<std::int64_t>(this->queue_limit_ms))
        .field("first_byte_ms", this->first_byte_time.count())
        .field("elapsed_ms", since(this->started).count())
        .field("limit_ms", std::chrono::duration_cast<milliseconds>(limit).count())
        .field("aborted", to_string(this->aborted->reason))
        .field("problem", this->last_problem);
}

} // namespace pomelorouter::app
