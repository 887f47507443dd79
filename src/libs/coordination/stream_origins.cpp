#include "coordination/stream_origins.hpp"

#include "coordination/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace pomelorouter::coordination
{

void stream_origins::add(state::time_point now, const std::string& attempt,
                         const std::string& software)
{
    this->forget_old(now);
    if (this->current.size() >= max_streams / 2)
        this->rotate(now);
    this->current.insert_or_assign(attempt, software);
}

std::optional<std::string> stream_origins::find(std::string_view attempt) const
{
    for (const origin_map* map : {&this->current, &this->earlier})
    {
        const auto found = map->find(attempt);
        if (found != map->end())
            return found->second;
    }
    return std::nullopt;
}

void stream_origins::forget_old(state::time_point now)
{
    if (now - this->begun >= ttl)
        this->rotate(now);
}

void stream_origins::rotate(state::time_point now)
{
    this->earlier = std::exchange(this->current, {});
    // After a long pause the earlier half is too old as well.
    if (now - this->begun >= 2 * ttl)
        this->earlier.clear();
    this->begun = now;
}

void software_history::on_seen(state::time_point now, const std::string& service,
                               const std::string& software)
{
    seen_times& times =
        this->services[service].try_emplace(software, seen_times{now, now}).first->second;
    times.last = now;
}

std::optional<std::string> software_history::only_seen(state::time_point now,
                                                       std::string_view service,
                                                       state::milliseconds span) const
{
    std::optional<std::string> only;
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return only;
    for (const auto& [software, times] : found->second)
    {
        if (times.last < now - span)
            continue;
        if (only)
            return std::nullopt;
        only = software;
    }
    return only;
}

std::optional<std::string> software_history::only_version(state::time_point now,
                                                          std::string_view service,
                                                          state::milliseconds span) const
{
    std::optional<std::string> only = this->only_seen(now, service, span);
    if (only &&
        this->services.find(service)->second.find(*only)->second.first > now - span)
        only.reset();
    return only;
}

void software_history::forget(state::time_point oldest)
{
    for (auto service = this->services.begin(); service != this->services.end();)
    {
        std::erase_if(service->second,
                      [oldest](const auto& item) { return item.second.last < oldest; });
        service =
            service->second.empty() ? this->services.erase(service) : std::next(service);
    }
}

std::vector<std::string> origin_keepers(std::string_view attempt,
                                        const std::vector<std::string>& nodes,
                                        std::size_t count)
{
    std::vector<std::string> result = nodes;
    const auto precedes = [attempt](const std::string& left, const std::string& right)
    {
        const std::uint64_t left_weight = rendezvous_weight(attempt, left);
        const std::uint64_t right_weight = rendezvous_weight(attempt, right);
        return left_weight != right_weight ? left_weight > right_weight : left < right;
    };
    const std::size_t kept = std::min(count, result.size());
    std::partial_sort(result.begin(), result.begin() + static_cast<std::ptrdiff_t>(kept),
                      result.end(), precedes);
    result.resize(kept);
    return result;
}

} // namespace pomelorouter::coordination
