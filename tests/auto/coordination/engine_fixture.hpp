#pragma once

#include "coordination/local_load.hpp"
#include "coordination/routing_policy.hpp"
#include "state/node_view.hpp"

#include <numeric>
#include <string>
#include <vector>

namespace pomelorouter::tests
{

inline const state::time_point start_time{std::chrono::hours(1)};

/// Engines with 16 slots each that are all replicas of one model, bound to a
/// `local_load`.
struct engine_fixture
{
    explicit engine_fixture(std::size_t count) : engines(count), candidates(count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            this->engines[i].id = "engine-" + std::to_string(i);
            this->engines[i].incarnation = 1;
            this->engines[i].load.slots = 16;
            this->engines[i].load_received = start_time;
        }
        std::iota(this->candidates.begin(), this->candidates.end(), 0U);
        this->load.bind(this->engines);
    }

    coordination::routing_query query(std::int64_t tokens = 100)
    {
        coordination::routing_query result;
        result.candidates = this->candidates;
        result.engines = this->engines;
        result.load = &this->load;
        result.expected_tokens = tokens;
        result.now = start_time;
        return result;
    }

    std::vector<state::backend_view> engines;
    std::vector<std::uint32_t> candidates;
    coordination::local_load load;
};

} // namespace pomelorouter::tests
