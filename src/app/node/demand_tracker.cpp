#include "app/node/demand_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace pomelorouter::app
{

namespace
{

// Demand changes within seconds, so the rate is smoothed with a time constant of that
// order.
constexpr double rate_time_constant_s = 2.0;
constexpr double slope_time_constant_s = 4.0;
// About the time that loading a model takes, so that copies are ready when the demand
// arrives.
constexpr double forecast_s = 5.0;
// Upper bound of the forecast relative to the current rate. Without it the first requests
// after an idle period would claim every engine.
constexpr double max_growth = 3.0;
constexpr double min_tracked_rate = 1e-3;
constexpr state::milliseconds min_interval{200};
constexpr state::milliseconds peer_demand_lifetime{5000};

} // namespace

void demand_tracker::add_request(std::string_view model, std::string_view adapter,
                                 std::int64_t expected_tokens)
{
    const std::lock_guard lock(this->mutex);
    const auto tokens = static_cast<double>(expected_tokens);
    // An adapter runs on its base model, so its tokens count as demand for the model too.
    this->entries[{std::string(model), {}}].tokens_since_update += tokens;
    if (!adapter.empty())
        this->entries[{std::string(model), std::string(adapter)}].tokens_since_update +=
            tokens;
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
    const double elapsed_s =
        std::chrono::duration<double>(now - this->last_update).count();
    this->last_update = now;
    const double rate_weight = 1.0 - std::exp(-elapsed_s / rate_time_constant_s);
    const double slope_weight = 1.0 - std::exp(-elapsed_s / slope_time_constant_s);
    for (auto item = this->entries.begin(); item != this->entries.end();)
    {
        entry& demand = item->second;
        const double previous_rate = demand.rate;
        demand.rate +=
            rate_weight * (demand.tokens_since_update / elapsed_s - demand.rate);
        demand.slope +=
            slope_weight * ((demand.rate - previous_rate) / elapsed_s - demand.slope);
        demand.tokens_since_update = 0.0;
        if (demand.waiting == 0 && demand.rate < min_tracked_rate)
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
        const double forecast_rate = demand.rate + demand.slope * forecast_s;
        // A falling demand is not extrapolated, because copies are unloaded slowly
        // anyway.
        result[key] = {std::clamp(forecast_rate, demand.rate, demand.rate * max_growth),
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
