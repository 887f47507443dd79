#include "coordination/demand_spread.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <utility>

namespace pomelorouter::coordination::internal
{

namespace
{

/// Rounds over all flows. Each moves the loads closer to the balance; the remaining
/// difference is small against the noise of the demand.
constexpr int balance_rounds = 3;

} // namespace

demand_spread::demand_spread(std::vector<double> engine_speeds)
    : speeds(std::move(engine_speeds)), loads(this->speeds.size(), 0.0)
{
    if (this->speeds.empty())
        return;
    this->mean_speed = std::accumulate(this->speeds.begin(), this->speeds.end(), 0.0) /
                       static_cast<double>(this->speeds.size());
}

std::size_t demand_spread::add_flow(double demand, std::vector<std::size_t> engines)
{
    flow_state flow;
    flow.demand = demand;
    flow.shares.reserve(engines.size());
    for (const std::size_t engine : engines)
        flow.shares.push_back({engine, 0.0});
    this->flows.push_back(std::move(flow));
    return this->flows.size() - 1;
}

void demand_spread::balance()
{
    for (int round = 0; round < balance_rounds; ++round)
    {
        for (flow_state& flow : this->flows)
            this->spread(flow);
    }
}

/// Raises the least loaded engines of the flow to one level.
void demand_spread::spread(flow_state& flow)
{
    if (flow.demand <= 0.0)
        return;
    for (flow_share& item : flow.shares)
    {
        this->loads[item.engine] -= item.load;
        item.load = 0.0;
    }
    std::sort(flow.shares.begin(), flow.shares.end(),
              [this](const flow_share& left, const flow_share& right)
              { return this->loads[left.engine] < this->loads[right.engine]; });
    double speed = 0.0;
    double processed = flow.demand;
    double level = 0.0;
    for (std::size_t i = 0; i < flow.shares.size(); ++i)
    {
        const std::size_t engine = flow.shares[i].engine;
        if (i > 0 && level <= this->loads[engine])
            break;
        speed += this->speeds[engine];
        processed += this->speeds[engine] * this->loads[engine];
        level = processed / speed;
    }
    for (flow_share& item : flow.shares)
    {
        item.load = std::max(0.0, level - this->loads[item.engine]);
        this->loads[item.engine] += item.load;
    }
}

void demand_spread::add_engine(std::size_t flow, std::size_t engine)
{
    this->flows[flow].shares.push_back({engine, 0.0});
    this->spread(this->flows[flow]);
}

void demand_spread::remove_engine(std::size_t flow, std::size_t engine)
{
    flow_state& state = this->flows[flow];
    const auto item = std::find_if(state.shares.begin(), state.shares.end(),
                                   [engine](const flow_share& share)
                                   { return share.engine == engine; });
    if (item == state.shares.end())
        return;
    this->loads[engine] -= item->load;
    state.shares.erase(item);
    this->spread(state);
}

double demand_spread::mean_load() const
{
    if (this->loads.empty())
        return 0.0;
    return std::accumulate(this->loads.begin(), this->loads.end(), 0.0) /
           static_cast<double>(this->loads.size());
}

double demand_spread::level(std::size_t flow) const
{
    double lowest = std::numeric_limits<double>::infinity();
    for (const flow_share& item : this->flows[flow].shares)
        lowest = std::min(lowest, this->loads[item.engine]);
    return lowest;
}

double demand_spread::share(std::size_t flow, std::size_t engine) const
{
    for (const flow_share& item : this->flows[flow].shares)
    {
        if (item.engine == engine)
            return item.load;
    }
    return 0.0;
}

} // namespace pomelorouter::coordination::internal
