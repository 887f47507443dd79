#include "app/gateway/peers/load_exchange.hpp"

#include "coordination/report_source.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pomelorouter::app
{

using coordination::backend_loads;
using coordination::report_source;
using coordination::weight_demand;
using protocol::load_scope;
using state::now;

namespace
{

/// These limits keep a heartbeat within the size of a datagram. Rates beyond the limit
/// are the smallest ones.
constexpr std::size_t max_rates = 300;
constexpr std::size_t max_loads = 500;

/// Returns the key under which the reported loads and rates are stored.
report_source reporter_key(const protocol::gateway_heartbeat& heartbeat)
{
    switch (heartbeat.scope)
    {
    case load_scope::gateway:
        return {heartbeat.scope, heartbeat.origin.node};
    case load_scope::zone:
        return {heartbeat.scope, heartbeat.origin.zone};
    case load_scope::others:
    case load_scope::none:
        break;
    }
    return {heartbeat.scope, ""};
}

bool is_negligible(const coordination::peer_load& load)
{
    return load.active == 0 && load.waiting_tokens == 0 && load.long_streams == 0 &&
           load.prompt_rate < 1.0;
}

} // namespace

void load_exchange::fill(protocol::gateway_heartbeat& heartbeat,
                         const coordination::gossip_target& target)
{
    heartbeat.scope = target.scope;
    heartbeat.loads.clear();
    heartbeat.rates.clear();
    this->fill_loads(heartbeat, target);
    if (target.has_rates)
        this->fill_rates(heartbeat, target);
}

void load_exchange::fill_loads(protocol::gateway_heartbeat& heartbeat,
                               const coordination::gossip_target& target)
{
    backend_loads::load_map loads;
    switch (target.scope)
    {
    case load_scope::none:
        return;
    case load_scope::gateway:
        loads = this->shared.loads.own_loads(now());
        break;
    case load_scope::zone:
        loads = this->shared.loads.zone_loads(now());
        break;
    case load_scope::others:
        if (!this->cached_totals)
            this->cached_totals = this->shared.loads.all_loads(now());
        loads = *this->cached_totals;
        const auto* const own =
            this->shared.loads.loads_of(now(), {load_scope::gateway, target.node});
        if (own == nullptr)
            break;
        for (const auto& [backend, load] : *own)
            loads[backend] -= load;
        break;
    }
    for (const auto& [backend, load] : loads)
    {
        if (is_negligible(load) || heartbeat.loads.size() == max_loads)
            continue;
        heartbeat.loads.push_back({backend, load.active, load.waiting_tokens,
                                   load.long_streams, load.prompt_rate});
    }
}

void load_exchange::fill_rates(protocol::gateway_heartbeat& heartbeat,
                               const coordination::gossip_target& target) const
{
    const weight_demand::rates rates =
        target.scope == load_scope::gateway
            ? this->shared.demand.own_rates(now())
            : this->shared.demand.zone_rates(now(), target.node);
    for (const auto& [name, rate] : rates)
    {
        heartbeat.rates.push_back({name.service, name.model, name.adapter, rate.per_s,
                                   rate.tokens_per_s, rate.usual_tokens_per_s,
                                   rate.waiting});
    }
    if (heartbeat.rates.size() <= max_rates)
        return;
    const auto is_larger = [](const protocol::weight_rate_entry& left,
                              const protocol::weight_rate_entry& right)
    {
        return std::tie(left.waiting, left.usual_tokens_per_s) >
               std::tie(right.waiting, right.usual_tokens_per_s);
    };
    std::nth_element(heartbeat.rates.begin(), heartbeat.rates.begin() + max_rates,
                     heartbeat.rates.end(), is_larger);
    heartbeat.rates.resize(max_rates);
}

bool load_exchange::accept(const protocol::gateway_heartbeat& heartbeat,
                           bool is_aggregator)
{
    if (heartbeat.scope == load_scope::none)
        return false;
    const report_source key = reporter_key(heartbeat);
    weight_demand::rates rates;
    bool has_waiting = false;
    for (const protocol::weight_rate_entry& rate : heartbeat.rates)
    {
        rates[{rate.service, rate.model, rate.adapter}] = {
            rate.per_s, rate.tokens_per_s, rate.usual_tokens_per_s, rate.waiting};
        has_waiting |= rate.waiting > 0;
    }
    const bool has_new_waiting = has_waiting && !this->shared.demand.had_waiting(key);
    this->shared.demand.set_peer(now(), key, std::move(rates));
    // The aggregator sums the reports of single gateways and zones; all others use only
    // its totals.
    const bool is_sum = heartbeat.scope == load_scope::others;
    if (is_sum != is_aggregator)
    {
        backend_loads::load_map loads;
        for (const protocol::backend_load_entry& load : heartbeat.loads)
        {
            loads[load.backend] = {load.active, load.waiting_tokens, load.long_streams,
                                   load.prompt_rate};
        }
        this->shared.loads.set_peer(now(), key, std::move(loads));
    }
    return has_new_waiting && is_aggregator && heartbeat.scope == load_scope::gateway;
}

void load_exchange::forget(const std::string& node)
{
    this->shared.loads.forget_peer({load_scope::gateway, node});
    this->shared.demand.forget_peer({load_scope::gateway, node});
}

void load_exchange::forget_all()
{
    this->shared.loads.forget_peers();
    this->shared.demand.forget_peers();
}

} // namespace pomelorouter::app
