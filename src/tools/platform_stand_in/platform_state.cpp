#include "platform_state.hpp"

#include <algorithm>
#include <utility>

namespace pomelorouter::tools
{

platform_state::platform_state(std::size_t retention_records)
    : retention(retention_records)
{
}

std::uint64_t platform_state::append(const std::string& stream, std::string data)
{
    log_stream& target = this->streams[stream];
    const std::uint64_t offset = target.next();
    target.records.push_back(std::move(data));
    while (target.records.size() > this->retention)
    {
        target.records.pop_front();
        ++target.first;
    }
    return offset;
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
        page.records.push_back({offset, found->second.records[offset - page.first]});
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

void platform_state::set_instance(const state::instance& item)
{
    this->list[item.id] = item;
}

void platform_state::remove_instance(const std::string& id)
{
    this->list.erase(id);
}

} // namespace pomelorouter::tools
