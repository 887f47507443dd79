#pragma once

#include "coordination/random_source.hpp"
#include "coordination/retry_backoff.hpp"
#include "coordination/retry_budget.hpp"
#include "protocol/refusal.hpp"
#include "state/clock.hpp"
#include "state/counters.hpp"
#include "state/node_view.hpp"
#include "transport/http_client.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace pomelorouter::app
{

/// A request to be sent to the backend servers of a plain service.
struct service_send
{
    std::shared_ptr<const state::node_view> view;
    const state::service_view* service = nullptr;
    /// Must stay valid until `send` has completed.
    const transport::http_request* request = nullptr;
    state::time_point deadline{};
    /// Whether the request may be sent again even though it may have been run.
    bool idempotent = false;
    /// Whether the request has an idempotency key; affects only the refusal.
    bool keyed = false;
};

/// Result of sending a request.
struct service_result
{
    /// The response of the backend server, if there was one; otherwise `failure` is set.
    std::optional<transport::http_response> response;
    protocol::refusal failure;

    bool is_not_run() const
    {
        return !this->response && this->failure.run == protocol::run_state::not_run;
    }
};

/// Time until a deadline, at least 1 ms.
state::milliseconds remaining_until(state::time_point deadline);

/// Sends requests to the backend servers of plain services, round robin. Sends a request
/// again if the backend server certainly did not run it, or if the request is idempotent.
class service_sender
{
public:
    service_sender(transport::http_client& client, state::counter_registry& counters);

    boost::asio::awaitable<service_result> send(service_send call);

private:
    boost::asio::awaitable<service_result> send_to(const service_send& call,
                                                   const state::backend_view& backend);
    /// Waits before a retry. Returns false if the retry budget or the deadline does not
    /// allow one.
    boost::asio::awaitable<bool> wait_for_retry(const service_send& call,
                                                coordination::retry_backoff& backoff);
    const state::backend_view* choose(const service_send& call);

    transport::http_client& client;
    coordination::retry_budget budget;
    coordination::random_source random;
    /// Backend servers that failed recently, by id, and until when to avoid them.
    std::map<std::string, state::time_point> avoid_until;
    std::uint64_t rotation = 0;
    state::counter& calls;
    state::counter& retries;
};

} // namespace pomelorouter::app
