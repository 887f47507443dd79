#include "coordination/held_sizes.hpp"

#include <algorithm>

namespace pomelorouter::coordination
{

using state::time_point;

weight_size larger(const weight_size& left, const weight_size& right)
{
    return {std::max(left.weight_mb, right.weight_mb),
            std::max(left.adapter_mb, right.adapter_mb)};
}

void held_sizes::add(time_point now, engine_record& target, const std::string& model,
                     const weight_size& size)
{
    held_size& item = target.sizes[model];
    item.size = larger(item.size, size);
    item.last_held = now;
}

/// Returns the sizes of the models that `after` lacks or has with a smaller size.
const held_sizes::size_map& held_sizes::smaller_sizes(time_point now,
                                                      const profile_ptr& before,
                                                      const profile_ptr& after)
{
    const auto [change, is_new] = this->changes.try_emplace({before, after});
    if (!is_new)
        return change->second;
    for (const state::hosted_model& model : before->models)
    {
        const state::hosted_model* const next = after->find_model(model.name);
        if (next != nullptr && next->weight_mb >= model.weight_mb &&
            next->adapter_mb >= model.adapter_mb)
            continue;
        const weight_size size{model.weight_mb, model.adapter_mb};
        change->second.emplace(model.name, size);
        held_size& item = this->recent[model.name];
        item.size = larger(item.size, size);
        item.last_held = now;
    }
    return change->second;
}

void held_sizes::observe(time_point now, std::string_view engine,
                         std::int64_t incarnation,
                         const std::vector<state::loaded_model>& models,
                         const profile_ptr& profile)
{
    auto found = this->engines.find(engine);
    if (found == this->engines.end())
    {
        if (profile == nullptr)
            return;
        found = this->engines.emplace(engine, engine_record{}).first;
    }
    engine_record& target = found->second;
    // A new process holds nothing of the one before.
    if (target.profile == nullptr || target.incarnation != incarnation)
        target = {incarnation, profile, now, {}};
    target.last_seen = now;
    if (profile != nullptr && target.profile != nullptr && target.profile != profile)
    {
        const size_map& sizes = this->smaller_sizes(now, target.profile, profile);
        for (const state::loaded_model& model : models)
        {
            const auto before = sizes.find(model.name);
            if (before != sizes.end())
                add(now, target, model.name, before->second);
        }
        target.profile = profile;
    }
    if (target.sizes.empty() && this->recent.empty())
        return;
    for (const state::loaded_model& model : models)
    {
        const auto known = target.sizes.find(model.name);
        const auto before = this->recent.find(model.name);
        if (known != target.sizes.end())
            known->second.last_held = now;
        else if (before != this->recent.end() &&
                 now - before->second.last_held <= absence_time)
            add(now, target, model.name, before->second.size);
    }
    std::erase_if(target.sizes, [now](const auto& item)
                  { return now - item.second.last_held > absence_time; });
}

void held_sizes::on_load(time_point now, std::string_view engine,
                         const std::string& model, const weight_size& size)
{
    const auto found = this->engines.find(engine);
    if (found != this->engines.end())
        found->second.sizes[model] = {size, now};
}

void held_sizes::forget_old(time_point now)
{
    std::erase_if(this->engines, [now](const auto& item)
                  { return now - item.second.last_seen > absence_time; });
    std::erase_if(this->recent, [now](const auto& item)
                  { return now - item.second.last_held > absence_time; });
    this->changes.clear();
}

held_sizes::size_map held_sizes::sizes_of(std::string_view engine) const
{
    size_map result;
    const auto found = this->engines.find(engine);
    if (found == this->engines.end())
        return result;
    for (const auto& [model, item] : found->second.sizes)
        result.emplace(model, item.size);
    return result;
}

} // namespace pomelorouter::coordination
