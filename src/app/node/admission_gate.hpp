#pragma once

#include "app/node/completion_state.hpp"
#include "coordination/admission.hpp"
#include "state/node_view.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace pomelorouter::app
{

/// How the wait for admission ended.
enum class gate_outcome
{
    admitted,
    refused,
    caller_gone,
};

/// Result of a request for admission; `reason` and `retry_after` are set for a refusal.
struct gate_result
{
    gate_outcome outcome = gate_outcome::admitted;
    state::error_code reason = state::error_code::overloaded;
    state::milliseconds retry_after{0};
};

/// Suspends requests on the event loop until they are admitted, or until a copy of their
/// model becomes available.
class admission_gate
{
public:
    explicit admission_gate(boost::asio::any_io_executor executor);

    /// Waits until the request is admitted or refused.
    boost::asio::awaitable<gate_result> enter(completion_state& request,
                                              coordination::admission_limits limits,
                                              state::microseconds engine_wait);
    /// Releases the place of an admitted request that has ended and admits queued
    /// requests.
    void leave(const completion_state& request, state::time_point now);
    /// Waits until `on_change` or `until`. Returns false if the queue is full.
    boost::asio::awaitable<bool> wait_for_change(completion_state& request,
                                                 coordination::admission_limits limits,
                                                 state::time_point until);
    /// Resumes the requests in `wait_for_change`: there is a new view, or an engine has
    /// capacity again.
    void on_change();
    /// Resumes a waiting request whose caller has disconnected.
    void abandon(const completion_state& request);
    /// Refuses queued requests that can no longer meet their deadline and admits others
    /// if the limits allow it.
    void tick(state::time_point now);

private:
    struct waiter
    {
        explicit waiter(const boost::asio::any_io_executor& executor) : timer(executor) {}

        boost::asio::steady_timer timer;
        const completion_state* request = nullptr;
        std::optional<gate_outcome> outcome;
    };

    boost::asio::awaitable<void> sleep(waiter& item, state::time_point until);
    void wake(const std::string& service, coordination::admission_ticket ticket,
              gate_outcome outcome);

    boost::asio::any_io_executor executor;
    /// Admission state of each service, by service name.
    std::map<std::string, coordination::admission, std::less<>> gates;
    std::map<std::pair<std::string, coordination::admission_ticket>, waiter*> queued;
    std::set<waiter*> waiting;
};

} // namespace pomelorouter::app
