#pragma once

#include "coordination/local_load.hpp"
#include "coordination/prefix_index.hpp"
#include "coordination/random_source.hpp"
#include "coordination/routing_policy.hpp"
#include "state/node_view.hpp"

#include <cstdint>
#include <vector>

namespace pomelorouter::bench
{

struct fleet_size
{
    std::size_t engines = 0;
    std::size_t models = 0;
};

/// Engines with replicas of models, calls in flight and known prefixes, from a seed.
class decision_fleet
{
public:
    decision_fleet(const fleet_size& size, std::uint64_t seed);

    /// Takes one routing decision for the next request of a fixed sequence.
    void decide(coordination::routing_policy& policy);
    void find_prefix();
    void record_prefix();

    coordination::local_load& load() { return this->local; }
    state::time_point now() const { return this->time; }

private:
    struct request
    {
        std::uint32_t model = 0;
        std::uint32_t prompt = 0;
        std::int64_t tokens = 0;
        bool long_work = false;
    };

    void make_replicas(std::size_t models);
    void make_calls();
    void make_requests();
    const request& next();

    coordination::random_source random;
    std::vector<state::backend_view> engines;
    std::vector<std::vector<std::uint32_t>> replicas;
    std::vector<coordination::prefix_hashes> prompts;
    std::vector<request> requests;
    coordination::local_load local;
    coordination::prefix_index prefixes;
    std::size_t position = 0;
    state::time_point time{std::chrono::hours(1)};
    /// Keeps the results, so that the compiler cannot leave the work out.
    std::uint64_t sum = 0;
};

} // namespace pomelorouter::bench
