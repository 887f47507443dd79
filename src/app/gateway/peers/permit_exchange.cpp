#include "app/gateway/peers/permit_exchange.hpp"

#include "state/error.hpp"
#include "state/log.hpp"
#include "transport/background_task.hpp"
#include "transport/http_error.hpp"

#include <algorithm>
#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using state::milliseconds;
using state::now;

namespace
{

/// Maximum duration of a request for permits. Requests of callers wait for it.
constexpr milliseconds permit_timeout{250};

} // namespace

permit_exchange::permit_exchange(gateway_state& gateway,
                                 transport::http_client& http_client,
                                 const peer_gossip& gateway_peers,
                                 state::counter_registry& counters)
    : shared(gateway),
      client(http_client),
      peers(gateway_peers),
      issuer(gateway_peers.own().node),
      issued(counters.count("permits_issued_total",
                            "permits issued for backend servers with a limit")),
      refused(counters.count("permits_refused_total",
                             "requests of gateways for permits that got none"))
{
}

void permit_exchange::request_permits()
{
    for (protocol::permit_request& request :
         this->shared.limits.take_requests(now(), this->shared.gateways))
    {
        const std::string node = this->issuer.issuer_of(request.backend);
        if (node == this->peers.own().node)
        {
            this->shared.limits.on_grant(now(), request.backend, this->issue(request));
            continue;
        }
        const protocol::gateway_member* const member = this->peers.members().find(node);
        if (member == nullptr)
        {
            this->shared.limits.on_request_failed(now(), request.backend);
            continue;
        }
        transport::spawn_task(this->shared.executor, "permit_request",
                              this->fetch(member->control, std::move(request)));
    }
}

asio::awaitable<void> permit_exchange::fetch(std::string address,
                                             protocol::permit_request request)
{
    transport::http_call_options options;
    options.connect_timeout = permit_timeout;
    options.progress_timeout = permit_timeout;
    options.total_timeout = permit_timeout;
    std::string problem;
    try
    {
        const transport::http_response response = co_await this->client.fetch(
            address,
            transport::make_request(transport::verb::post, "/gateway/permits",
                                    protocol::encode_permit_request(request)),
            options);
        if (response.result() == transport::status::ok)
        {
            this->shared.limits.on_grant(now(), request.backend,
                                         protocol::decode_permit_grant(response.body()));
            this->shared.loads_changed.notify();
            co_return;
        }
        problem = "expected status 200";
    }
    catch (const state::error& failure)
    {
        problem = failure.what();
    }
    this->shared.limits.on_request_failed(now(), request.backend);
    state::log_event(state::log_level::info, "permit_request_failed")
        .field("backend", request.backend)
        .field("issuer", address)
        .field("problem", problem);
}

std::string permit_exchange::respond(std::string_view body)
{
    return protocol::encode_permit_grant(
        this->issue(protocol::decode_permit_request(body)));
}

protocol::permit_grant permit_exchange::issue(protocol::permit_request request)
{
    // The requesting gateway may not know the newest limit.
    request.per_s =
        std::min(request.per_s,
                 this->shared.limits.limit(request.backend).value_or(request.per_s));
    const protocol::permit_grant grant = this->issuer.issue(now(), request);
    if (grant.count > 0)
        this->issued.add(grant.count);
    else
        this->refused.add();
    return grant;
}

void permit_exchange::tick()
{
    this->issuer.set_gateways(now(), this->peers.ready_nodes());
    this->issuer.forget_idle(now());
}

} // namespace pomelorouter::app
