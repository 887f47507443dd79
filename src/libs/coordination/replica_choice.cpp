#include "coordination/replica_choice.hpp"

#include <algorithm>
#include <iterator>
#include <string>

namespace pomelorouter::coordination
{

namespace
{

std::vector<std::uint32_t> engines_with(const std::vector<engine_content>& engines,
                                        const std::string& model,
                                        const std::string& adapter,
                                        const std::string& version)
{
    std::vector<std::uint32_t> named;
    std::vector<std::uint32_t> others;
    bool named_stays = false;
    for (const engine_content& engine : engines)
    {
        bool has_named = false;
        bool has_other = false;
        for (const state::resident_model& item : *engine.resident)
        {
            if (!item.ready || item.model != model || item.adapter != adapter)
                continue;
            (item.version == version ? has_named : has_other) = true;
        }
        if (has_named)
            named.push_back(engine.index);
        else if (has_other)
            others.push_back(engine.index);
        named_stays = named_stays || (has_named && !engine.leaving);
    }
    if (named_stays || others.empty())
        return named;
    return others;
}

} // namespace

void choose_replicas(const std::vector<engine_content>& engines, state::model_view& view)
{
    const state::model_settings& model = *view.settings;
    view.replicas.engines = engines_with(engines, model.name, {}, model.version);
    for (const auto& [name, adapter] : model.adapters)
    {
        const auto holders = engines_with(engines, model.name, name, adapter.version);
        // An adapter serves beside its model, on the same version as the model itself if
        // there is such an engine.
        std::vector<std::uint32_t> both;
        std::set_intersection(holders.begin(), holders.end(),
                              view.replicas.engines.begin(), view.replicas.engines.end(),
                              std::back_inserter(both));
        if (!holders.empty())
            view.adapters[name].engines = both.empty() ? holders : both;
    }
}

} // namespace pomelorouter::coordination
