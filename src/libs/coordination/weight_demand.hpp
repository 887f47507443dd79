#pragma once

#include "coordination/report_source.hpp"
#include "protocol/gateway_heartbeat.hpp"
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
    /// Prompt tokens of requests that wait until an engine has capacity for them, and the
    /// same by rank.
    std::uint32_t queued_tokens = 0;
    protocol::tokens_by_rank queued_by_rank{};
};

/// A model whose requests wait for capacity. The model is empty for the sum over models
/// that are not listed.
struct queued_model
{
    std::string service;
    std::string model;

    bool operator<(const queued_model& other) const
    {
        return std::tie(this->service, this->model) <
               std::tie(other.service, other.model);
    }
};

/// Prompt tokens that wait at other gateways for one model and for all models of its
/// service.
struct queued_tokens
{
    protocol::tokens_by_rank model{};
    protocol::tokens_by_rank service{};
};

/// Measures the demand for models and adapters from the requests of this process and from
/// the reports of peers.
class weight_demand
{
public:
    using rates = std::map<weight_name, weight_rate>;

    /// Names beyond a bounded number are not measured while all others are in use.
    void on_request(state::time_point now, const weight_name& name, double tokens);
    /// Count the requests that wait for the weights.
    void on_wait(const weight_name& name);
    void on_wait_ended(const weight_name& name);
    /// Count the prompt tokens of requests that wait for capacity.
    void on_queued(const weight_name& name, std::size_t rank, std::uint32_t tokens);
    void on_queue_left(const weight_name& name, std::size_t rank, std::uint32_t tokens);
    bool has_waiting() const { return !this->waiting.empty(); }
    /// Number of models and adapters whose demand is measured here.
    std::size_t measured() const { return this->meters.size(); }

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
    using queue_map = std::map<queued_model, protocol::tokens_by_rank>;

    /// Waiting requests of this gateway and of the gateways in its availability zone.
    queue_map zone_queues(state::time_point now) const;
    /// Waiting requests of all gateways.
    queue_map all_queues(state::time_point now) const;
    /// Waiting requests that `peer` reported, or null without a recent report.
    const queue_map* queues_of(state::time_point now, const report_source& peer) const;
    /// Waiting requests of all other gateways.
    queued_tokens peer_queue(state::time_point now, std::string_view service,
                             std::string_view model) const;
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
        queue_map queues;
    };

    /// Long-term rate of a meter.
    static double usual_rate(const meter& item, state::time_point now);
    queue_map own_queues() const;

    std::map<weight_name, meter> meters;
    /// When the names out of use were last dropped from the full table.
    state::time_point dropped_unused{};
    std::map<weight_name, std::uint32_t> waiting;
    std::map<weight_name, protocol::tokens_by_rank> queued;
    std::map<report_source, peer_rates> peers;
};

} // namespace pomelorouter::coordination
