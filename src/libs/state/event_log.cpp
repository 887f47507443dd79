#include "state/event_log.hpp"

#include "state/log.hpp"

#include <chrono>

namespace pomelorouter::state
{

event_log::event_log(std::string node_id, std::uint64_t node_incarnation,
                     std::size_t capacity)
    : node(std::move(node_id)), incarnation(node_incarnation), events(capacity)
{
}

void event_log::record(std::string kind, std::vector<event_field> fields)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    {
        log_event line(log_level::info, kind);
        for (const event_field& item : fields)
            line.field(item.key, item.value);
    }
    timeline_event event;
    event.wall_time_us =
        std::chrono::duration_cast<std::chrono::microseconds>(now).count();
    event.node = this->node;
    event.incarnation = this->incarnation;
    event.kind = std::move(kind);
    event.fields = std::move(fields);
    const std::lock_guard lock(this->mutex);
    event.sequence = this->next_sequence++;
    this->events.push_back(std::move(event));
}

std::vector<timeline_event> event_log::since(std::uint64_t from) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<timeline_event> result;
    for (const timeline_event& event : this->events)
    {
        if (event.sequence >= from)
            result.push_back(event);
    }
    return result;
}

} // namespace pomelorouter::state
