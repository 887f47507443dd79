#pragma once

#include "protocol/send_permit.hpp"
#include "state/clock.hpp"

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::coordination
{

/// Issues permits to send requests to backend servers with a limit, so that the requests
/// of all gateways together keep it. For each backend server, one of the ready gateways
/// is the issuer, by rendezvous hashing.
class permit_issuer
{
public:
    explicit permit_issuer(std::string own_node) : node(std::move(own_node)) {}

    /// Sets the ready gateways, this one included if it is ready.
    void set_gateways(state::time_point now, std::vector<std::string> ready);
    /// Returns the gateway that issues the permits of a backend server; empty if none is
    /// ready.
    std::string issuer_of(std::string_view backend) const;
    /// Issues as many of the requested permits as the limit allows now.
    protocol::permit_grant issue(state::time_point now,
                                 const protocol::permit_request& request);
    /// Drops the counts of backend servers without recent requests.
    void forget_idle(state::time_point now);

private:
    struct gateway_set
    {
        state::time_point since{};
        std::vector<std::string> nodes;
    };
    /// Token bucket of one backend server.
    struct bucket
    {
        double tokens = 0.0;
        double per_s = 0.0;
        state::time_point updated{};
        /// When the last urgent request was refused.
        state::time_point urgent_refused{};
        /// Time after which the next gateway that is refused should request again.
        state::time_point next_turn{};
    };

    static std::string issuer_among(const std::vector<std::string>& nodes,
                                    std::string_view backend);
    /// Whether this gateway has been the issuer long enough for permits of an earlier
    /// issuer to have been used.
    bool may_issue(state::time_point now, std::string_view backend) const;
    /// Returns the time until a refused gateway should request again.
    static state::milliseconds wait_time(state::time_point now, bucket& target,
                                         double per_s);

    std::string node;
    /// The present set of gateways, preceded by those of the last moments.
    std::deque<gateway_set> sets;
    std::map<std::string, bucket, std::less<>> buckets;
};

} // namespace pomelorouter::coordination
