#include "app/gateway/peers/load_exchange.hpp"

#include "coordination/report_source.hpp"

#include <algorithm>
#include <map>
#include <numeric>
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
/// Models listed by what waits for them; those beyond the limit are added up.
constexpr std::size_t max_queued_models = 32;

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

void subtract(protocol::tokens_by_rank& sum, const protocol::tokens_by_rank& part)
{
    for (std::size_t rank = 0; rank < sum.size(); ++rank)
        sum[rank] -= std::min(sum[rank], part[rank]);
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
    this->fill_teams(heartbeat, target);
    this->fill_speeds(heartbeat);
    if (target.has_rates)
        this->fill_rates(heartbeat, target);
    else
        this->fill_queues(heartbeat, target);
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
                                   load.long_streams, load.prompt_rate,
                                   load.memory_tokens, load.behind_streams,
                                   load.urgent_behind_streams});
    }
}

void load_exchange::fill_teams(protocol::gateway_heartbeat& heartbeat,
                               const coordination::gossip_target& target)
{
    heartbeat.teams.clear();
    heartbeat.team_reporters = 0;
    coordination::team_usage_report report;
    switch (target.scope)
    {
    case load_scope::none:
        return;
    case load_scope::gateway:
        report = this->shared.allowances.own_usage();
        break;
    case load_scope::zone:
        report = this->shared.allowances.own_usage();
        report += this->shared.team_reports.zone(now());
        break;
    case load_scope::others:
        if (!this->cached_team_totals)
        {
            this->cached_team_totals = this->shared.allowances.own_usage();
            *this->cached_team_totals += this->shared.team_reports.others(now());
        }
        report = *this->cached_team_totals;
        report -= this->shared.team_reports.report_of(now(),
                                                      {load_scope::gateway, target.node});
        break;
    }
    heartbeat.team_reporters = report.gateways;
    for (const auto& [team, rates] : report.teams)
    {
        if (rates.asked_per_s > 0.0 || rates.admitted_per_s > 0.0)
            heartbeat.teams.push_back({team, rates.asked_per_s, rates.admitted_per_s});
    }
    if (heartbeat.teams.size() <= protocol::max_reported_teams)
        return;
    const auto is_larger =
        [](const protocol::team_usage& left, const protocol::team_usage& right)
    { return left.asked_per_s > right.asked_per_s; };
    std::nth_element(heartbeat.teams.begin(),
                     heartbeat.teams.begin() + protocol::max_reported_teams,
                     heartbeat.teams.end(), is_larger);
    heartbeat.teams.resize(protocol::max_reported_teams);
}

void load_exchange::fill_speeds(protocol::gateway_heartbeat& heartbeat)
{
    const coordination::engine_speed& speeds = this->shared.chooser.speeds();
    heartbeat.speeds.clear();
    switch (heartbeat.scope)
    {
    case load_scope::none:
        return;
    case load_scope::gateway:
        heartbeat.speeds = speeds.own_speeds(now());
        break;
    case load_scope::zone:
        heartbeat.speeds = speeds.zone_speeds(now());
        break;
    case load_scope::others:
        if (!this->cached_speeds)
            this->cached_speeds = speeds.all_speeds(now());
        heartbeat.speeds = *this->cached_speeds;
        break;
    }
    if (heartbeat.speeds.size() <= protocol::max_reported_services)
        return;
    const auto has_more_samples =
        [](const protocol::service_speed& left, const protocol::service_speed& right)
    { return left.samples > right.samples; };
    std::nth_element(heartbeat.speeds.begin(),
                     heartbeat.speeds.begin() + protocol::max_reported_services,
                     heartbeat.speeds.end(), has_more_samples);
    heartbeat.speeds.resize(protocol::max_reported_services);
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
                                   rate.waiting, rate.queued_tokens,
                                   rate.queued_by_rank});
    }
    if (heartbeat.rates.size() <= max_rates)
        return;
    const auto is_larger = [](const protocol::weight_rate_entry& left,
                              const protocol::weight_rate_entry& right)
    {
        return std::tie(left.waiting, left.queued_tokens, left.usual_tokens_per_s) >
               std::tie(right.waiting, right.queued_tokens, right.usual_tokens_per_s);
    };
    std::nth_element(heartbeat.rates.begin(), heartbeat.rates.begin() + max_rates,
                     heartbeat.rates.end(), is_larger);
    heartbeat.rates.resize(max_rates);
}

void load_exchange::fill_queues(protocol::gateway_heartbeat& heartbeat,
                                const coordination::gossip_target& target)
{
    weight_demand::queue_map queues;
    if (target.scope == load_scope::zone)
    {
        queues = this->shared.demand.zone_queues(now());
    }
    else if (target.scope == load_scope::others)
    {
        if (!this->cached_queues)
            this->cached_queues = this->shared.demand.all_queues(now());
        queues = *this->cached_queues;
        const auto* const own =
            this->shared.demand.queues_of(now(), {load_scope::gateway, target.node});
        if (own != nullptr)
        {
            for (const auto& [name, tokens] : *own)
                subtract(queues[name], tokens);
        }
    }
    for (const auto& [name, tokens] : queues)
    {
        const std::uint32_t sum =
            std::accumulate(tokens.begin(), tokens.end(), std::uint32_t(0));
        if (sum == 0)
            continue;
        protocol::weight_rate_entry& rate = heartbeat.rates.emplace_back();
        rate.service = name.service;
        rate.model = name.model;
        rate.queued_tokens = sum;
        rate.queued_by_rank = tokens;
    }
    if (heartbeat.rates.size() <= max_queued_models)
        return;
    std::sort(heartbeat.rates.begin(), heartbeat.rates.end(),
              [](const protocol::weight_rate_entry& left,
                 const protocol::weight_rate_entry& right)
              { return left.queued_tokens > right.queued_tokens; });
    std::map<std::string, protocol::weight_rate_entry> rest;
    for (std::size_t i = max_queued_models; i < heartbeat.rates.size(); ++i)
    {
        const protocol::weight_rate_entry& rate = heartbeat.rates[i];
        protocol::weight_rate_entry& sum = rest[rate.service];
        sum.service = rate.service;
        sum.queued_tokens += rate.queued_tokens;
        for (std::size_t rank = 0; rank < sum.queued_by_rank.size(); ++rank)
            sum.queued_by_rank[rank] += rate.queued_by_rank[rank];
    }
    heartbeat.rates.resize(max_queued_models);
    for (auto& [service, rate] : rest)
        heartbeat.rates.push_back(std::move(rate));
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
            rate.per_s,   rate.tokens_per_s,  rate.usual_tokens_per_s,
            rate.waiting, rate.queued_tokens, rate.queued_by_rank};
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
            loads[load.backend] = {load.active,
                                   load.waiting_tokens,
                                   load.long_streams,
                                   load.prompt_rate,
                                   load.memory_tokens,
                                   load.behind_streams,
                                   load.urgent_behind_streams};
        }
        this->shared.loads.set_peer(now(), key, std::move(loads));
        coordination::team_usage_report usage;
        usage.gateways = heartbeat.team_reporters;
        for (const protocol::team_usage& team : heartbeat.teams)
            usage.teams[team.team] = {team.asked_per_s, team.admitted_per_s};
        this->shared.chooser.speeds().set_peer(now(), key, heartbeat.speeds);
        this->shared.team_reports.set_peer(now(), key, std::move(usage));
    }
    return has_new_waiting && is_aggregator && heartbeat.scope == load_scope::gateway;
}

void load_exchange::forget(const std::string& node)
{
    this->shared.loads.forget_peer({load_scope::gateway, node});
    this->shared.chooser.speeds().forget_peer({load_scope::gateway, node});
    this->shared.team_reports.forget_peer({load_scope::gateway, node});
    this->shared.demand.forget_peer({load_scope::gateway, node});
}

void load_exchange::forget_all()
{
    this->shared.loads.forget_peers();
    this->shared.chooser.speeds().forget_peers();
    this->shared.team_reports.forget_peers();
    this->shared.demand.forget_peers();
}

} // namespace pomelorouter::app
