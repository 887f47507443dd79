#include "coordination/admission_line.hpp"

#include <tuple>
#include <utility>

namespace pomelorouter::coordination
{

admission_line::ticket admission_line::enter(line_entry entry)
{
    this->entries.emplace(++this->last, std::move(entry));
    return this->last;
}

void admission_line::leave(ticket number)
{
    this->entries.erase(number);
}

bool admission_line::goes_before(state::time_point now, const line_entry& left,
                                 ticket left_number, const line_entry& right,
                                 ticket right_number)
{
    const bool left_late = now > left.in_time_until;
    const bool right_late = now > right.in_time_until;
    return std::tie(left_late, left.rank, left.arrival, left_number) <
           std::tie(right_late, right.rank, right.arrival, right_number);
}

bool admission_line::is_next(state::time_point now, ticket number) const
{
    const line_entry& own = this->entries.at(number);
    for (const auto& [other, entry] : this->entries)
    {
        if (other != number && entry.lane == own.lane &&
            goes_before(now, entry, other, own, number))
            return false;
    }
    return true;
}

bool admission_line::is_in_time(state::time_point now, ticket number) const
{
    return now <= this->entries.at(number).in_time_until;
}

double admission_line::work_ahead_ms(state::time_point now, ticket number) const
{
    const line_entry& own = this->entries.at(number);
    double sum = 0.0;
    for (const auto& [other, entry] : this->entries)
    {
        if (other != number && entry.lane == own.lane &&
            goes_before(now, entry, other, own, number))
            sum += entry.work_ms;
    }
    return sum;
}

} // namespace pomelorouter::coordination
