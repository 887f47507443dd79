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
// A backend server that could not be reached is passed over for this time while there are
// others.
constexpr state::milliseconds avoid_time{1000};

bool is_backend_refusal(const http_response& response)
{
    // A plain service may answer with an error of its own in the same form; only these
    // types say that it did not take the request.
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
    result.failure.message = "no live backend server of the service; not run";
    result.failure.retry_after = default_retry_after;
    bool may_have_run = false;
    std::size_t free_tries = call.service->backends.size();
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
        // An earlier attempt may have been run although this one certainly was not.
        may_have_run = may_have_run || !result.is_not_run();
        if (may_have_run && !call.idempotent)
            break;
        // A connection that was not made is no load for the backend server, so each of
        // them may be tried once; every other attempt is paid for.
        const bool is_free = result.failure.code == error_code::connect_failed &&
                             result.is_not_run() && free_tries > 1;
        if (is_free)
        {
            --free_tries;
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
    // A connection that was used before may be closed by the other end at this moment,
    // and it would not be known whether the request was read.
    options.fresh_connection = true;
    options.connect_timeout =
        std::min(state::milliseconds(attributes.get(attribute::connect_timeout_ms)),
                 remaining_until(call.deadline));
    options.progress_timeout =
        std::min(state::milliseconds(attributes.get(attribute::progress_timeout_ms)),
                 remaining_until(call.deadline));
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
        result.failure.message = "the backend server refused the request; not run";
    }
    catch (const transport::http_error& failure)
    {
        this->avoid_until[backend.id] = std::chrono::steady_clock::now() + avoid_time;
        result.failure.code = failure.code();
        result.failure.message = failure.what();
        if (failure.request_may_have_left())
        {
            result.failure.run = run_state::unknown;
            // Without a key, coming back later would risk a second run.
            if (!call.keyed && !call.idempotent)
                result.failure.retry_after.reset();
            result.failure.expected =
                call.keyed
                    ? "the request may have been run; sent again with the same key it "
                      "will not run twice"
                    : "the request may have been run; ask the service before sending it "
                      "again";
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
