#include "coordination/replica_choice.hpp"

#include <algorithm>
#include <iterator>
#include <string>

namespace pomelorouter::coordination
{

namespace
{

std::vector<std::uint32_t> find_engines(const std::vector<engine_content>& engines,
                                        const std::string& model,
                                        const std::string& adapter,
                                        const std::string& version)
{
    std::vector<std::uint32_t> requested;
    std::vector<std::uint32_t> other;
    bool requested_remains = false;
    for (const engine_content& engine : engines)
    {
        bool has_requested = false;
        bool has_other = false;
        for (const state::resident_model& item : *engine.resident)
        {
            if (!item.ready || item.model != model || item.adapter != adapter)
                continue;
            (item.version == version ? has_requested : has_other) = true;
        }
        if (has_requested)
            requested.push_back(engine.index);
        else if (has_other)
            other.push_back(engine.index);
        requested_remains = requested_remains || (has_requested && !engine.leaving);
    }
    if (requested_remains || other.empty())
        return requested;
    return other;
}

} // namespace

void choose_replicas(const std::vector<engine_content>& engines, state::model_view& view)
{
    const state::model_settings& model = *view.settings;
    view.replicas.engines = find_engines(engines, model.name, {}, model.version);
    for (const auto& [name, adapter] : model.adapters)
    {
        const auto holders = find_engines(engines, model.name, name, adapter.version);
        // An adapter is served together with its model, if possible on engines that have
        // the chosen version of the model.
        std::vector<std::uint32_t> common;
        std::set_intersection(holders.begin(), holders.end(),
                              view.replicas.engines.begin(), view.replicas.engines.end(),
                              std::back_inserter(common));
        if (!holders.empty())
            view.adapters[name].engines = common.empty() ? holders : common;
    }
}

} // namespace pomelorouter::coordination
