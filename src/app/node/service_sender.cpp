#include "app/node/service_sender.hpp"

#include "protocol/engine_api.hpp"
#include "state/error.hpp"
#include "transport/http_error.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using protocol::run_state;
using state::attribute;
using state::error_code;
using transport::http_response;

namespace
{

constexpr state::milliseconds default_retry_after{1000};
/// Maximum size of a response that is forwarded to a caller.
constexpr std::size_t max_response_bytes = 64 * 1024 * 1024;
// How long a backend server is avoided after a failed call, as long as there are others.
constexpr state::milliseconds avoid_duration{1000};

bool is_backend_refusal(const http_response& response)
{
    // A plain service may respond with its own errors in the same format; only these two
    // types mean that it did not accept the request.
    if (response.result() != transport::status::service_unavailable &&
        response.result() != transport::status::conflict)
        return false;
    const std::string type = protocol::parse_backend_error(response.body());
    return type == "queue_full" || type == "leaving";
}

} // namespace

state::milliseconds remaining_until(state::time_point deadline)
{
    const auto left = std::chrono::duration_cast<state::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    return std::max(left, state::milliseconds(1));
}

service_sender::service_sender(transport::http_client& http,
                               state::counter_registry& counters)
    : client(http),
      random(std::random_device{}()),
      calls(counters.count("service_calls_total", "calls sent to plain services")),
      retries(counters.count("service_retries_total",
                             "calls to plain services that were sent again"))
{
}

asio::awaitable<service_result> service_sender::send(service_send call)
{
    const state::attribute_values& attributes = call.service->settings->attributes;
    this->budget.on_request(attributes.get(attribute::retry_percent));
    coordination::retry_backoff backoff(attributes);
    service_result result;
    result.failure.code = error_code::no_backend_server;
    result.failure.message =
        "the service has no available backend server; the request was not run";
    result.failure.retry_after = default_retry_after;
    bool may_have_run = false;
    std::size_t free_attempts = call.service->backends.size();
    for (bool is_first = true;; is_first = false)
    {
        const state::backend_view* backend = this->choose(call);
        if (backend == nullptr)
            break;
        if (!is_first)
            this->retries.add();
        result = co_await this->send_to(call, *backend);
        if (result.response)
            break;
        // An earlier attempt may have been run even if this one certainly was not.
        may_have_run = may_have_run || !result.is_not_run();
        if (may_have_run && !call.idempotent)
            break;
        // A failed connection attempt puts no load on the backend server, so each server
        // may be tried once for free; the retry budget is charged for any other attempt.
        const bool is_free = result.failure.code == error_code::connect_failed &&
                             result.is_not_run() && free_attempts > 1;
        if (is_free)
        {
            --free_attempts;
            if (std::chrono::steady_clock::now() >= call.deadline)
                break;
            continue;
        }
        if (!co_await this->wait_for_retry(call, backoff))
            break;
    }
    if (may_have_run)
        result.failure.run = run_state::unknown;
    co_return result;
}

asio::awaitable<bool> service_sender::wait_for_retry(const service_send& call,
                                                     coordination::retry_backoff& backoff)
{
    if (!this->budget.try_take())
        co_return false;
    const auto delay =
        backoff.next(std::chrono::steady_clock::now(), call.deadline, this->random);
    if (!delay)
    {
        this->budget.give_back();
        co_return false;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor, *delay);
    co_await timer.async_wait(asio::use_awaitable);
    co_return true;
}

asio::awaitable<service_result>
service_sender::send_to(const service_send& call, const state::backend_view& backend)
{
    const state::attribute_values& attributes = call.service->settings->attributes;
    transport::http_call_options options;
    // The backend server may close a reused connection just as the request is sent, and
    // then it would be unknown whether the request was read.
    options.fresh_connection = true;
    options.connect_timeout =
        std::min(state::milliseconds(attributes.get(attribute::connect_timeout_ms)),
                 remaining_until(call.deadline));
    options.progress_timeout =
        std::min(state::milliseconds(attributes.get(attribute::progress_timeout_ms)),
                 remaining_until(call.deadline));
    options.max_body_bytes = max_response_bytes;
    service_result result;
    result.failure.retry_after = default_retry_after;
    try
    {
        this->calls.add();
        http_response response =
            co_await this->client.fetch(backend.address, *call.request, options);
        if (!is_backend_refusal(response))
        {
            result.response = std::move(response);
            co_return result;
        }
        result.failure.code = error_code::refused_by_backend;
        result.failure.message =
            "the backend server refused the request and did not run it";
    }
    catch (const transport::http_error& failure)
    {
        this->avoid_until[backend.id] = std::chrono::steady_clock::now() + avoid_duration;
        result.failure.code = failure.code();
        result.failure.message = failure.what();
        if (failure.request_may_have_been_sent())
        {
            result.failure.run = run_state::unknown;
            // Without a key, a retry by the caller could run the request twice.
            if (!call.keyed && !call.idempotent)
                result.failure.retry_after.reset();
            result.failure.expected =
                call.keyed
                    ? "the request may have been run; sending it again with the same key "
                      "does not run it twice"
                    : "the request may have been run; check with the service before "
                      "sending it again";
        }
    }
    catch (const std::exception& failure)
    {
        result.failure.code = error_code::internal;
        result.failure.message = failure.what();
        result.failure.run = run_state::unknown;
    }
    co_return result;
}

const state::backend_view* service_sender::choose(const service_send& call)
{
    const std::vector<std::uint32_t>& backends = call.service->backends;
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(this->avoid_until,
                  [&](const auto& entry) { return entry.second <= now; });
    const state::backend_view* avoided = nullptr;
    for (std::size_t step = 0; step < backends.size(); ++step)
    {
        const auto index = backends[this->rotation++ % backends.size()];
        const state::backend_view& backend = call.view->services[index];
        if (backend.leaving)
            continue;
        if (!this->avoid_until.contains(backend.id))
            return &backend;
        avoided = &backend;
    }
    return avoided;
}

} // namespace pomelorouter::app
