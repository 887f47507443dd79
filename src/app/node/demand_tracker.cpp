#include "app/node/demand_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace pomelorouter::app
{

namespace
{

// Demand swings within seconds, so the rate follows with a time constant of this order.
constexpr double rate_time_constant_s = 2.0;
constexpr double slope_time_constant_s = 4.0;
// About the time of a load; the copies have to be there when the demand is.
constexpr double forecast_s = 5.0;
// A forecast never exceeds the present rate by more than this factor, so that the first
// requests after a silence do not ask for every engine.
constexpr double max_growth = 3.0;
constexpr double forgotten_rate = 1e-3;
constexpr state::milliseconds min_interval{200};
constexpr state::milliseconds peer_demand_lifetime{5000};

} // namespace

void demand_tracker::add_request(std::string_view model, std::string_view adapter,
                                 std::int64_t expected_tokens)
{
    const std::lock_guard lock(this->mutex);
    const auto tokens = static_cast<double>(expected_tokens);
    // An adapter runs on its model, which therefore has the demand too.
    this->entries[{std::string(model), {}}].tokens_since += tokens;
    if (!adapter.empty())
        this->entries[{std::string(model), std::string(adapter)}].tokens_since += tokens;
}

void demand_tracker::begin_waiting(std::string_view model, std::string_view adapter)
{
    const std::lock_guard lock(this->mutex);
    ++this->entries[{std::string(model), std::string(adapter)}].waiting;
}

void demand_tracker::end_waiting(std::string_view model, std::string_view adapter)
{
    const std::lock_guard lock(this->mutex);
    --this->entries[{std::string(model), std::string(adapter)}].waiting;
}

void demand_tracker::add_peer_demand(const std::string& node,
                                     const coordination::demand_map& demand,
                                     state::time_point now)
{
    const std::lock_guard lock(this->mutex);
    this->peers[node] = {demand, now};
}

void demand_tracker::update(state::time_point now)
{
    if (!this->has_updated)
    {
        this->has_updated = true;
        this->last_update = now;
        return;
    }
    if (now - this->last_update < min_interval)
        return;
    const double passed = std::chrono::duration<double>(now - this->last_update).count();
    this->last_update = now;
    const double rate_weight = 1.0 - std::exp(-passed / rate_time_constant_s);
    const double slope_weight = 1.0 - std::exp(-passed / slope_time_constant_s);
    for (auto item = this->entries.begin(); item != this->entries.end();)
    {
        entry& demand = item->second;
        const double before = demand.rate;
        demand.rate += rate_weight * (demand.tokens_since / passed - demand.rate);
        demand.slope += slope_weight * ((demand.rate - before) / passed - demand.slope);
        demand.tokens_since = 0.0;
        if (demand.waiting == 0 && demand.rate < forgotten_rate)
            item = this->entries.erase(item);
        else
            ++item;
    }
}

coordination::demand_map demand_tracker::own_locked(state::time_point now)
{
    this->update(now);
    coordination::demand_map result;
    for (const auto& [key, demand] : this->entries)
    {
        const double ahead = demand.rate + demand.slope * forecast_s;
        // A falling demand is not extrapolated: copies are given up slowly anyway.
        result[key] = {std::clamp(ahead, demand.rate, demand.rate * max_growth),
                       demand.waiting};
    }
    return result;
}

coordination::demand_map demand_tracker::own_demand(state::time_point now)
{
    const std::lock_guard lock(this->mutex);
    return this->own_locked(now);
}

coordination::demand_map demand_tracker::forecast(state::time_point now,
                                                  std::size_t serving_nodes)
{
    const std::lock_guard lock(this->mutex);
    coordination::demand_map result = this->own_locked(now);
    std::erase_if(this->peers, [&](const auto& item)
                  { return now - item.second.received > peer_demand_lifetime; });
    const std::size_t reported = 1 + this->peers.size();
    const double scale = static_cast<double>(std::max(serving_nodes, reported)) /
                         static_cast<double>(reported);
    for (auto& [key, demand] : result)
        demand.tokens_per_s *= scale;
    for (const auto& [node, peer] : this->peers)
    {
        for (const auto& [key, demand] : peer.demand)
        {
            result[key].tokens_per_s += demand.tokens_per_s;
            result[key].waiting_callers += demand.waiting_callers;
        }
    }
    return result;
}

} // namespace pomelorouter::app
