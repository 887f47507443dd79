#include "coordination/replay_position.hpp"

#include <utility>

namespace pomelorouter::coordination
{

bool replay_position::begin_at(std::uint64_t first)
{
    if (first == 0 && !this->known && this->next == 0)
    {
        this->known = true;
        return true;
    }
    if (this->known && first <= this->next)
        return false;
    // Records between the current state and `first` were deleted before they were read.
    // They may have changed the state.
    this->known = false;
    this->buffer_begin = first;
    this->buffered.clear();
    return false;
}

void replay_position::buffer_record(std::uint64_t offset, std::string_view data)
{
    this->buffered.push_back({offset, std::string(data)});
}

bool replay_position::covers_missed_records(std::uint64_t upto) const
{
    return upto + 1 >= this->buffer_begin;
}

std::optional<std::vector<replay_position::buffered_record>>
replay_position::adopt(std::uint64_t upto)
{
    const std::uint64_t after = upto + 1;
    if (after < this->next || (this->known && after == this->next))
        return std::nullopt;
    this->next = after;
    this->known = true;
    std::vector<buffered_record> later;
    for (buffered_record& record : std::exchange(this->buffered, {}))
    {
        if (this->buffer_begin <= after && record.offset >= after)
            later.push_back(std::move(record));
    }
    return later;
}

} // namespace pomelorouter::coordination
