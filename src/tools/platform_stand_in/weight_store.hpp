#pragma once

#include "state/clock.hpp"

#include <cstdint>
#include <string_view>

namespace pomelorouter::tools
{

/// Load rates and durations of the weight store.
struct weight_store_options
{
    /// Model loads started per second; further ones are queued. 0 means no limit.
    double loads_per_s = 0.0;
    state::milliseconds load_time{200};
    /// Concurrent loads at full speed; with more in flight each takes proportionally
    /// longer.
    std::int64_t full_speed_loads = 24;
    state::milliseconds adapter_load_time{20};
    std::int64_t full_speed_adapters = 190;
};

/// Returns whether a name in the store refers to an adapter.
bool is_adapter_name(std::string_view name);

/// Computes the load durations of the weight store. Performs no I/O.
class weight_store
{
public:
    explicit weight_store(const weight_store_options& options);

    /// Starts a load and returns its duration from `now`, including the time in the
    /// queue. The caller calls `end_load` when the duration has passed.
    state::milliseconds begin_load(bool adapter, state::time_point now);
    void end_load(bool adapter);

    std::int64_t loads() const { return this->model_load_count; }
    std::int64_t max_in_flight() const { return this->max_model_loads_in_flight; }
    std::int64_t adapter_loads() const { return this->adapter_load_count; }
    std::int64_t max_adapters_in_flight() const
    {
        return this->max_adapter_loads_in_flight;
    }

private:
    weight_store_options options;
    state::time_point next_start{};
    std::int64_t model_load_count = 0;
    std::int64_t in_flight = 0;
    std::int64_t max_model_loads_in_flight = 0;
    std::int64_t adapter_load_count = 0;
    std::int64_t adapters_in_flight = 0;
    std::int64_t max_adapter_loads_in_flight = 0;
};

} // namespace pomelorouter::tools
