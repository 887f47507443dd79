#include "coordination/admission_queue.hpp"

#include <tuple>
#include <utility>

namespace pomelorouter::coordination
{

admission_queue::ticket admission_queue::enter(queue_entry entry)
{
    this->entries.emplace(++this->last_ticket, std::move(entry));
    return this->last_ticket;
}

void admission_queue::leave(ticket number)
{
    this->entries.erase(number);
}

void admission_queue::set_held(ticket number, bool is_held)
{
    this->entries.at(number).is_held = is_held;
}

bool admission_queue::precedes(state::time_point now, const queue_entry& left,
                               ticket left_number, const queue_entry& right,
                               ticket right_number)
{
    const bool left_late = now > left.latest_start;
    const bool right_late = now > right.latest_start;
    return std::tie(left_late, left.rank, left.arrival, left_number) <
           std::tie(right_late, right.rank, right.arrival, right_number);
}

bool admission_queue::is_next(state::time_point now, ticket number) const
{
    const queue_entry& own = this->entries.at(number);
    for (const auto& [other, entry] : this->entries)
    {
        if (other != number && entry.engine_group == own.engine_group && !entry.is_held &&
            precedes(now, entry, other, own, number))
            return false;
    }
    return true;
}

bool admission_queue::is_in_time(state::time_point now, ticket number) const
{
    return now <= this->entries.at(number).latest_start;
}

double admission_queue::work_ahead_ms(state::time_point now, ticket number) const
{
    const queue_entry& own = this->entries.at(number);
    double sum = 0.0;
    for (const auto& [other, entry] : this->entries)
    {
        if (other != number && entry.engine_group == own.engine_group &&
            precedes(now, entry, other, own, number))
            sum += entry.work_ms;
    }
    return sum;
}

} // namespace pomelorouter::coordination
