#include "platform_state.hpp"

#include <algorithm>
#include <utility>

namespace pomelorouter::tools
{

platform_state::platform_state(const platform_limits& platform) : limits(platform)
{
    this->list_versions.push_back({state::time_point{}, {}});
}

bool platform_state::admit_append(state::time_point now)
{
    constexpr std::chrono::seconds window(1);
    while (!this->recent_appends.empty() && this->recent_appends.front() + window <= now)
        this->recent_appends.pop_front();
    if (this->limits.appends_per_s > 0 &&
        this->recent_appends.size() >= this->limits.appends_per_s)
        return false;
    this->recent_appends.push_back(now);
    return true;
}

std::uint64_t platform_state::append(const std::string& stream, std::string data,
                                     state::time_point now)
{
    log_stream& target = this->streams[stream];
    const std::uint64_t offset = target.next();
    target.records.push_back({now, std::move(data)});
    this->expire(now);
    return offset;
}

void platform_state::expire(state::time_point now)
{
    for (auto& [name, stream] : this->streams)
    {
        while (!stream.records.empty() &&
               (stream.records.size() > this->limits.retention_records ||
                (this->limits.retention_time.count() > 0 &&
                 stream.records.front().appended + this->limits.retention_time <= now)))
        {
            stream.records.pop_front();
            ++stream.first;
        }
    }
}

bool platform_state::is_truncated(const std::string& stream, std::uint64_t from) const
{
    return from < this->first(stream);
}

protocol::log_page_body platform_state::read(const std::string& stream,
                                             std::uint64_t from, std::size_t limit) const
{
    protocol::log_page_body page;
    page.first = this->first(stream);
    const std::uint64_t end = std::min<std::uint64_t>(this->next(stream), from + limit);
    const auto found = this->streams.find(stream);
    for (std::uint64_t offset = from; offset < end; ++offset)
        page.records.push_back({offset, found->second.records[offset - page.first].data});
    page.next = std::max(from, end);
    return page;
}

std::uint64_t platform_state::first(const std::string& stream) const
{
    const auto found = this->streams.find(stream);
    return found == this->streams.end() ? 0 : found->second.first;
}

std::uint64_t platform_state::next(const std::string& stream) const
{
    const auto found = this->streams.find(stream);
    return found == this->streams.end() ? 0 : found->second.next();
}

void platform_state::set_instance(const state::instance& item, state::time_point now)
{
    instance_map next = this->list_versions.back().instances;
    next[item.id] = item;
    this->change_list(std::move(next), now);
}

void platform_state::remove_instance(const std::string& id, state::time_point now)
{
    instance_map next = this->list_versions.back().instances;
    next.erase(id);
    this->change_list(std::move(next), now);
}

void platform_state::change_list(instance_map next, state::time_point now)
{
    this->list_versions.push_back({now, std::move(next)});
    this->visible_instances(now);
}

std::vector<state::instance> platform_state::visible_instances(state::time_point now)
{
    while (this->list_versions.size() > 1 &&
           this->list_versions[1].since + this->limits.list_lag <= now)
        this->list_versions.pop_front();
    std::vector<state::instance> result;
    for (const auto& [id, item] : this->list_versions.front().instances)
        result.push_back(item);
    return result;
}

} // namespace pomelorouter::tools
