#include "weight_store.hpp"

#include <algorithm>

namespace pomelorouter::tools
{

namespace
{

constexpr std::string_view adapter_prefix = "adapters/";

/// Returns the duration of one load when `in_flight` loads share the store.
state::milliseconds contended_load_time(state::milliseconds uncontended,
                                        std::int64_t in_flight, std::int64_t full_speed)
{
    if (in_flight <= full_speed)
        return uncontended;
    return uncontended * in_flight / std::max<std::int64_t>(1, full_speed);
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

state::milliseconds weight_store::begin_load(bool adapter, state::time_point now)
{
    if (adapter)
    {
        ++this->adapter_load_count;
        ++this->adapters_in_flight;
        this->max_adapter_loads_in_flight =
            std::max(this->max_adapter_loads_in_flight, this->adapters_in_flight);
        return contended_load_time(this->options.adapter_load_time,
                                   this->adapters_in_flight,
                                   this->options.full_speed_adapters);
    }
    ++this->model_load_count;
    ++this->in_flight;
    this->max_model_loads_in_flight =
        std::max(this->max_model_loads_in_flight, this->in_flight);
    state::milliseconds wait(0);
    if (this->options.loads_per_s > 0.0)
    {
        const auto start = std::max(now, this->next_start);
        const std::chrono::duration<double> interval(1.0 / this->options.loads_per_s);
        this->next_start =
            start + std::chrono::duration_cast<state::time_point::duration>(interval);
        wait = std::chrono::ceil<state::milliseconds>(start - now);
    }
    return wait + contended_load_time(this->options.load_time, this->in_flight,
                                      this->options.full_speed_loads);
}

void weight_store::end_load(bool adapter)
{
    --(adapter ? this->adapters_in_flight : this->in_flight);
}

} // namespace pomelorouter::tools
