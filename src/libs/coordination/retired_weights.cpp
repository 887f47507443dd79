#include "coordination/retired_weights.hpp"

#include <map>
#include <string_view>
#include <unordered_set>

namespace pomelorouter::coordination::internal
{

namespace
{

constexpr std::string_view unload_reason = "the configuration does not list it";

/// Looks up the adapters of models; lists of adapters may be long.
class adapter_lists
{
public:
    bool contains(const state::hosted_model& model, std::string_view adapter)
    {
        auto [list, is_new] = this->lists.try_emplace(&model);
        if (is_new)
            list->second.insert(model.adapters.begin(), model.adapters.end());
        return list->second.count(adapter) > 0;
    }

private:
    std::map<const state::hosted_model*, std::unordered_set<std::string_view>> lists;
};

/// Adds the order for the first of the engine's retired models or adapters.
void unload_first(plan_workspace& work, planned_engine& engine, adapter_lists& listed)
{
    for (const state::loaded_model& item : engine.models)
    {
        const state::hosted_model* const model = work.find_model(item.name);
        if (model == nullptr)
        {
            work.add_order(engine, plan_operation::unload_model, item.name, "", false,
                           unload_reason);
            return;
        }
        for (const std::string& adapter : item.adapters)
        {
            if (listed.contains(*model, adapter))
                continue;
            work.add_order(engine, plan_operation::unload_adapter, item.name, adapter,
                           false, unload_reason);
            return;
        }
    }
}

} // namespace

void unload_retired_weights(plan_workspace& work)
{
    adapter_lists listed;
    for (planned_engine& engine : work.engines)
    {
        if (!engine.is_busy)
            unload_first(work, engine, listed);
    }
}

} // namespace pomelorouter::coordination::internal
