#pragma once

#include "state/clock.hpp"

#include <cstdint>
#include <string_view>

namespace pomelorouter::tools
{

/// Speed of the weight store.
struct weight_store_options
{
    /// Model loads started in a second; later ones wait for their turn. 0 means no limit.
    double loads_per_s = 0.0;
    state::milliseconds load_time{200};
    /// Loads in flight at full speed; beyond that each takes proportionally longer.
    std::int64_t full_speed_loads = 24;
    state::milliseconds adapter_time{20};
    std::int64_t full_speed_adapters = 190;
};

/// Whether a name in the store is that of an adapter.
bool is_adapter_name(std::string_view name);

/// Timing of the weight store. No input or output.
class weight_store
{
public:
    explicit weight_store(const weight_store_options& options);

    /// Begins a load; returns how long it takes from `now` on.
    state::milliseconds begin(bool adapter, state::time_point now);
    void end(bool adapter);

    std::int64_t loads() const { return this->model_loads; }
    std::int64_t most_in_flight() const { return this->most_loads; }
    std::int64_t adapter_loads() const { return this->adapters; }
    std::int64_t most_adapters_in_flight() const { return this->most_adapters; }

private:
    weight_store_options options;
    state::time_point next_start{};
    std::int64_t model_loads = 0;
    std::int64_t in_flight = 0;
    std::int64_t most_loads = 0;
    std::int64_t adapters = 0;
    std::int64_t adapters_in_flight = 0;
    std::int64_t most_adapters = 0;
};

} // namespace pomelorouter::tools
