#include "app/gateway/placement/placement_log.hpp"

#include "state/log.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace pomelorouter::app
{

void log_placement(const std::vector<coordination::planned_engine>& engines,
                   const coordination::weight_demand::rates& demand,
                   const plan_statistics& statistics)
{
    struct model_state
    {
        double tokens_per_s = 0.0;
        std::uint32_t waiting = 0;
        std::uint64_t queued_tokens = 0;
        int copies = 0;
        int loading = 0;
        double engine_active = 0.0;
    };
    std::map<std::string, model_state> models;
    for (const auto& [name, rate] : demand)
    {
        models[name.model].tokens_per_s += rate.tokens_per_s;
        models[name.model].waiting += rate.waiting;
        models[name.model].queued_tokens += rate.queued_tokens;
    }
    int busy = 0;
    for (const coordination::planned_engine& engine : engines)
    {
        busy += engine.is_busy ? 1 : 0;
        for (const state::loaded_model& model : engine.models)
        {
            ++models[model.name].copies;
            models[model.name].engine_active += engine.active;
        }
        if (!engine.loading.empty())
            ++models[engine.loading].loading;
    }
    state::log_event line(state::log_level::info, "placement_state");
    line.field("engines", static_cast<std::uint64_t>(engines.size()))
        .field("busy", busy)
        .field("plans", statistics.plans)
        .field("plan_us", statistics.total.count())
        .field("longest_plan_us", statistics.longest.count());
    constexpr double min_tokens_per_s = 1000.0;
    for (const auto& [name, model] : models)
    {
        if (model.tokens_per_s < min_tokens_per_s && model.loading == 0)
            continue;
        line.field(name, std::to_string(static_cast<int>(model.tokens_per_s)) + "t/s," +
                             std::to_string(model.copies) + "+" +
                             std::to_string(model.loading) + "copies," +
                             std::to_string(model.waiting) + "waiting," +
                             std::to_string(model.queued_tokens) + "queued," +
                             std::to_string(static_cast<int>(model.engine_active /
                                                             std::max(model.copies, 1))) +
                             "active");
    }
}

} // namespace pomelorouter::app
