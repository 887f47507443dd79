#pragma once

#include "app/node/claims_component.hpp"
#include "app/node/control_loop.hpp"
#include "app/node/reply_slot.hpp"
#include "app/node/service_sender.hpp"
#include "coordination/idempotency.hpp"
#include "coordination/key_table.hpp"
#include "state/counters.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pomelorouter::app
{

/// Serves calls to plain services. GET and HEAD are retried. A request with an
/// idempotency key runs at most once. Any other request is sent again only if the backend
/// server certainly did not run it. Runs on the serving thread.
class service_proxy
{
public:
    service_proxy(const node_identity& identity, const view_cell& views,
                  transport::http_client& client, control_mailbox& control,
                  claims_component& claims, state::counter_registry& counters);

    /// Serves one request. Throws `state::error` if the request is invalid or the service
    /// is unknown; later failures are sent to the caller.
    boost::asio::awaitable<void> handle(transport::http_exchange& exchange);

private:
    struct service_call;
    using waiter = std::shared_ptr<boost::asio::steady_timer>;

    service_call read_call(const transport::http_exchange& exchange) const;
    boost::asio::awaitable<void> handle_keyed(transport::http_exchange& exchange,
                                              service_call& call);
    /// Carries out a decision. Returns true if a new decision is needed, because the
    /// state of the key has changed.
    boost::asio::awaitable<bool>
    carry_out(transport::http_exchange& exchange, service_call& call,
              const coordination::idempotency_decision& decision);
    coordination::idempotency_decision decide(service_call& call) const;
    boost::asio::awaitable<bool> claim(transport::http_exchange& exchange,
                                       service_call& call);
    boost::asio::awaitable<void> run(transport::http_exchange& exchange,
                                     service_call& call);
    boost::asio::awaitable<bool> wait_for_local(transport::http_exchange& exchange,
                                                const service_call& call);
    boost::asio::awaitable<void> forward(transport::http_exchange& exchange,
                                         const service_call& call);
    void finish(const service_call& call, const service_result& result);
    boost::asio::awaitable<void> post(control_event event);
    control_event make_claim_event(const service_call& call,
                                   const std::shared_ptr<reply_slot<claim_reply>>& slot);
    control_event make_withdraw_event(const std::string& key);
    control_event make_record_event(const service_call& call,
                                    const service_result& result);
    void forget(const std::string& key);
    void wake(const std::string& key);
    state::time_point entry_expiry(const service_call& call) const;

    const node_identity& identity;
    const view_cell& views;
    transport::http_client& client;
    control_mailbox& control;
    claims_component& claims;
    coordination::key_table keys;
    /// Requests that wait for another request of this process with the same key.
    std::map<std::string, std::vector<waiter>, std::less<>> waiters;
    service_sender sender;
    state::counter& replays;
    state::counter& forwards;
    state::counter& refusals;
};

} // namespace pomelorouter::app
