#include "state/counters.hpp"

#include <set>
#include <utility>

namespace pomelorouter::state
{

namespace
{

/// Returns the name without labels.
std::string_view family_of(const counter& item)
{
    const std::string_view name = item.name();
    return name.substr(0, name.find('{'));
}

} // namespace

counter::counter(std::string name, std::string help, bool is_gauge)
    : metric_name(std::move(name)), help_text(std::move(help)), gauge(is_gauge)
{
}

counter& counter_registry::count(std::string_view name, std::string_view help)
{
    return this->find_or_create(name, help, false);
}

counter& counter_registry::gauge(std::string_view name, std::string_view help)
{
    return this->find_or_create(name, help, true);
}

std::string counter_registry::render() const
{
    const std::lock_guard lock(this->mutex);
    std::string text;
    std::set<std::string_view> rendered;
    for (const counter& item : this->counters)
    {
        const std::string_view family = family_of(item);
        if (!rendered.insert(family).second)
            continue;
        text += "# HELP " + std::string(family) + " " + item.help() + "\n";
        text += "# TYPE " + std::string(family) +
                (item.is_gauge() ? " gauge\n" : " counter\n");
        // The format requires all counters of a family to follow one another.
        for (const counter& member : this->counters)
        {
            if (family_of(member) == family)
                text += member.name() + " " + std::to_string(member.get()) + "\n";
        }
    }
    return text;
}

std::int64_t counter_registry::value(std::string_view name) const
{
    const std::lock_guard lock(this->mutex);
    for (const counter& item : this->counters)
    {
        if (item.name() == name)
            return item.get();
    }
    return 0;
}

counter& counter_registry::find_or_create(std::string_view name, std::string_view help,
                                          bool is_gauge)
{
    const std::lock_guard lock(this->mutex);
    for (counter& item : this->counters)
    {
        if (item.name() == name)
            return item;
    }
    return this->counters.emplace_back(std::string(name), std::string(help), is_gauge);
}

} // namespace pomelorouter::state
