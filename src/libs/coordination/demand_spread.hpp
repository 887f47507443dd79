#pragma once

#include <cstddef>
#include <vector>

namespace pomelorouter::coordination::internal
{

/// Estimates how requests spread over the engines that hold their weights, if gateways
/// always prefer the engine with the least load. Loads are shares of an engine's time.
class demand_spread
{
public:
    /// Load that a flow puts on one of its engines.
    struct flow_share
    {
        std::size_t engine = 0;
        double load = 0.0;
    };

    /// `speeds` holds what each engine processes per second.
    explicit demand_spread(std::vector<double> speeds);

    /// Adds a flow of `demand` per second that any of `engines` can serve, and returns
    /// its number.
    std::size_t add_flow(double demand, std::vector<std::size_t> engines);
    /// Spreads all flows, starting from the present shares.
    void balance();
    void add_engine(std::size_t flow, std::size_t engine);
    void remove_engine(std::size_t flow, std::size_t engine);

    double load(std::size_t engine) const { return this->loads[engine]; }
    double mean_load() const;
    /// Lowest load among the engines of the flow; infinite without engines.
    double level(std::size_t flow) const;
    /// Load that the flow puts on the engine.
    double share(std::size_t flow, std::size_t engine) const;
    const std::vector<flow_share>& shares(std::size_t flow) const
    {
        return this->flows[flow].shares;
    }
    /// Load of one engine of mean speed that serves `demand`.
    double load_of(double demand) const { return demand / this->mean_speed; }

private:
    struct flow_state
    {
        double demand = 0.0;
        std::vector<flow_share> shares;
    };

    void spread(flow_state& flow);

    std::vector<double> speeds;
    double mean_speed = 1.0;
    std::vector<double> loads;
    std::vector<flow_state> flows;
};

} // namespace pomelorouter::coordination::internal
