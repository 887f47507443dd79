#pragma once

#include "coordination/report_source.hpp"
#include "state/clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace pomelorouter::coordination
{

/// Weights that requests need: a model or one of its adapters.
struct weight_name
{
    std::string service;
    std::string model;
    std::string adapter;

    /// Returns the name without the service, as MODEL or MODEL/ADAPTER.
    std::string weights() const
    {
        return this->adapter.empty() ? this->model : this->model + "/" + this->adapter;
    }
    bool operator==(const weight_name&) const = default;
    bool operator<(const weight_name& other) const
    {
        return std::tie(this->service, this->model, this->adapter) <
               std::tie(other.service, other.model, other.adapter);
    }
};

/// Demand for one model or adapter.
struct weight_rate
{
    /// Requests per second, averaged over the last seconds.
    double per_s = 0.0;
    /// Prompt tokens per second, averaged over the last seconds.
    double tokens_per_s = 0.0;
    /// Prompt tokens per second, averaged over a longer time.
    double usual_tokens_per_s = 0.0;
    /// Requests that wait because no engine has the weights loaded.
    std::uint32_t waiting = 0;
    /// Prompt tokens of requests that wait until an engine has capacity for them.
    std::uint32_t queued_tokens = 0;
};

/// Measures the demand for models and adapters from the requests of this process and from
/// the reports of peers.
class weight_demand
{
public:
    using rates = std::map<weight_name, weight_rate>;

    void on_request(state::time_point now, const weight_name& name, double tokens);
    /// Count the requests that wait for the weights.
    void on_wait(const weight_name& name);
    void on_wait_ended(const weight_name& name);
    bool has_waiting() const { return !this->waiting.empty(); }

    /// Demand from the requests of this process.
    rates own_rates(state::time_point now) const;
    void set_peer(state::time_point now, const report_source& peer, rates reported);
    void forget_peer(const report_source& peer);
    /// Drops the reports of all peers after the set of reporting peers has changed.
    void forget_peers() { this->peers.clear(); }
    /// Demand of this gateway and of the gateways in its availability zone except
    /// `receiver`.
    rates zone_rates(state::time_point now, const std::string& receiver) const;
    /// Whether the last report of `peer` contains requests that wait for weights.
    bool had_waiting(const report_source& peer) const;
    /// Demand over all gateways.
    rates total(state::time_point now) const;

private:
    struct meter
    {
        double requests = 0.0;
        double tokens = 0.0;
        double usual_tokens = 0.0;
        state::time_point updated{};
    };
    struct peer_rates
    {
        state::time_point received{};
        rates values;
    };

    std::map<weight_name, meter> meters;
    std::map<weight_name, std::uint32_t> waiting;
    std::map<report_source, peer_rates> peers;
};

} // namespace pomelorouter::coordination
