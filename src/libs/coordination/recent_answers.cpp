#include "coordination/recent_answers.hpp"

#include <utility>

namespace pomelorouter::coordination
{

using state::time_point;

void recent_answers::rotate(time_point now)
{
    this->earlier = std::exchange(this->current, {});
    this->begun = now;
}

void recent_answers::add(time_point now, const part_key& key)
{
    if (this->current.size() >= max_parts)
        this->rotate(now);
    this->current[key] = now;
}

std::optional<time_point> recent_answers::find(const part_key& key) const
{
    for (const time_map* const times : {&this->current, &this->earlier})
    {
        const auto found = times->find(key);
        if (found != times->end())
            return found->second;
    }
    return std::nullopt;
}

void recent_answers::forget_old(time_point now)
{
    if (now - this->begun > ttl)
        this->rotate(now);
}

} // namespace pomelorouter::coordination
