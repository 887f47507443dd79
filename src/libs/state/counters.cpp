#include "state/counters.hpp"

#include <utility>

namespace pomelorouter::state
{

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
    for (const counter& item : this->counters)
    {
        text += "# HELP " + item.name() + " " + item.help() + "\n";
        text += "# TYPE " + item.name() + (item.is_gauge() ? " gauge\n" : " counter\n");
        text += item.name() + " " + std::to_string(item.get()) + "\n";
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
