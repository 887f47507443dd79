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

/// Number of engines and of models in a simulated fleet.
struct fleet_size
{
    std::size_t engines = 0;
    std::size_t models = 0;
};

/// Simulated fleet: engines with replicas of models, calls in flight and recorded prompt
/// prefixes. The same size and seed give the same fleet and the same sequence of
/// requests.
class decision_fleet
{
public:
    decision_fleet(const fleet_size& size, std::uint64_t seed);

    /// Chooses an engine for the next request of the sequence with `policy`.
    void decide(coordination::routing_policy& policy);
    /// Looks up the engines that hold the prompt prefix of the next request.
    void find_prefix();
    /// Records the prompt prefix of the next request for the first replica of its model.
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
    void start_calls();
    void make_requests();
    const request& next_request();

    coordination::random_source random;
    std::vector<state::backend_view> engines;
    std::vector<std::vector<std::uint32_t>> replicas;
    std::vector<coordination::prefix_hashes> prompts;
    std::vector<request> requests;
    coordination::local_load local;
    coordination::prefix_index prefixes;
    std::size_t request_index = 0;
    state::time_point time{std::chrono::hours(1)};
    /// Accumulates the results so that the compiler cannot remove the measured work.
    std::uint64_t result_sum = 0;
};

} // namespace pomelorouter::bench
