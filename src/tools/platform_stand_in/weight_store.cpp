#include "weight_store.hpp"

#include <algorithm>

namespace pomelorouter::tools
{

namespace
{

constexpr std::string_view adapter_prefix = "adapters/";

/// Time of one load when `in_flight` of them share the store.
state::milliseconds shared_time(state::milliseconds alone, std::int64_t in_flight,
                                std::int64_t full_speed)
{
    if (in_flight <= full_speed)
        return alone;
    return alone * in_flight / std::max<std::int64_t>(1, full_speed);
}

} // namespace

bool is_adapter_name(std::string_view name)
{
    return name.starts_with(adapter_prefix);
}

weight_store::weight_store(const weight_store_options& store_options)
    : options(store_options)
{
}

state::milliseconds weight_store::begin(bool adapter, state::time_point now)
{
    if (adapter)
    {
        ++this->adapters;
        ++this->adapters_in_flight;
        this->most_adapters = std::max(this->most_adapters, this->adapters_in_flight);
        return shared_time(this->options.adapter_time, this->adapters_in_flight,
                           this->options.full_speed_adapters);
    }
    ++this->model_loads;
    ++this->in_flight;
    this->most_loads = std::max(this->most_loads, this->in_flight);
    state::milliseconds wait(0);
    if (this->options.loads_per_s > 0.0)
    {
        const auto start = std::max(now, this->next_start);
        const std::chrono::duration<double> interval(1.0 / this->options.loads_per_s);
        this->next_start =
            start + std::chrono::duration_cast<state::time_point::duration>(interval);
        wait = std::chrono::ceil<state::milliseconds>(start - now);
    }
    return wait + shared_time(this->options.load_time, this->in_flight,
                              this->options.full_speed_loads);
}

void weight_store::end(bool adapter)
{
    --(adapter ? this->adapters_in_flight : this->in_flight);
}

} // namespace pomelorouter::tools
