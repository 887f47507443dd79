#include "app/node/service_sender.hpp"

#include "protocol/engine_api.hpp"
#include "state/error.hpp"
#include "transport/http_error.hpp"

#include <algorithm>
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
// To be replaced by coordination::retry_budget and retry_backoff.
constexpr int idempotent_retries = 1;

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
      calls(counters.count("service_calls_total", "calls sent to plain services")),
      retries(counters.count("service_retries_total",
                             "calls to plain services that were sent again"))
{
}

asio::awaitable<service_result> service_sender::send(service_send call)
{
    service_result result;
    result.failure.code = error_code::no_backend_server;
    result.failure.message = "no live backend server of the service; not run";
    result.failure.retry_after = default_retry_after;
    bool may_have_run = false;
    int repeats_left = call.idempotent ? idempotent_retries : 0;
    const std::size_t tries = std::max<std::size_t>(call.service->backends.size(), 1) +
                              static_cast<std::size_t>(repeats_left);
    for (std::size_t attempt = 0; attempt < tries; ++attempt)
    {
        const state::backend_view* backend = this->choose(call);
        if (backend == nullptr ||
            (attempt > 0 && std::chrono::steady_clock::now() >= call.deadline))
            break;
        if (attempt > 0)
            this->retries.add();
        result = co_await this->send_to(call, *backend);
        if (result.response)
            break;
        // An earlier attempt may have been run although this one certainly was not.
        may_have_run = may_have_run || !result.is_not_run();
        // A backend server that certainly did not run the request costs no repeat.
        if (!result.is_not_run() && repeats_left-- <= 0)
            break;
    }
    if (may_have_run)
        result.failure.run = run_state::unknown;
    co_return result;
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
    for (std::size_t step = 0; step < backends.size(); ++step)
    {
        const auto index = backends[this->rotation++ % backends.size()];
        if (!call.view->services[index].leaving)
            return &call.view->services[index];
    }
    return nullptr;
}

} // namespace pomelorouter::app
