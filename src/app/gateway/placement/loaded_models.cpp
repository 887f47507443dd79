#include "app/gateway/placement/loaded_models.hpp"

#include <algorithm>

namespace pomelorouter::app
{

void add_adapter(std::vector<state::loaded_model>& models, const std::string& model,
                 const std::string& adapter)
{
    for (state::loaded_model& item : models)
    {
        if (item.name == model && std::find(item.adapters.begin(), item.adapters.end(),
                                            adapter) == item.adapters.end())
            item.adapters.push_back(adapter);
    }
}

void remove_weights(std::vector<state::loaded_model>& models, const std::string& model,
                    const std::string& adapter)
{
    for (auto item = models.begin(); item != models.end(); ++item)
    {
        if (item->name != model)
            continue;
        if (adapter.empty())
        {
            models.erase(item);
            return;
        }
        auto& adapters = item->adapters;
        adapters.erase(std::remove(adapters.begin(), adapters.end(), adapter),
                       adapters.end());
    }
}

std::string weights_text(const std::vector<state::loaded_model>& models)
{
    std::string text;
    for (const state::loaded_model& item : models)
    {
        if (!text.empty())
            text += ',';
        text += item.name + "+" + std::to_string(item.adapters.size());
    }
    return text;
}

bool is_same(const std::vector<protocol::engine_weights>& left,
             const std::vector<protocol::engine_weights>& right)
{
    const auto is_equal =
        [](const protocol::engine_weights& one, const protocol::engine_weights& other)
    {
        return one.engine == other.engine && one.incarnation == other.incarnation &&
               one.order_sequence == other.order_sequence && one.models == other.models;
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), is_equal);
}

} // namespace pomelorouter::app
