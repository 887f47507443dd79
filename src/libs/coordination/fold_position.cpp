#include "coordination/fold_position.hpp"

#include <utility>

namespace pomelorouter::coordination
{

bool fold_position::begin_at(std::uint64_t first)
{
    if (first == 0 && !this->known && this->next == 0)
    {
        this->known = true;
        return true;
    }
    if (this->known && first <= this->next)
        return false;
    // Records between the state and `first` have expired unread: they may have changed
    // it.
    this->known = false;
    this->unread_begin = first;
    this->unread.clear();
    return false;
}

void fold_position::keep_unread(std::uint64_t offset, std::string_view data)
{
    this->unread.push_back({offset, std::string(data)});
}

bool fold_position::reaches_back(std::uint64_t upto) const
{
    return upto + 1 >= this->unread_begin;
}

std::optional<std::vector<fold_position::unread_record>>
fold_position::adopt(std::uint64_t upto)
{
    const std::uint64_t after = upto + 1;
    if (after < this->next || (this->known && after == this->next))
        return std::nullopt;
    this->next = after;
    this->known = true;
    std::vector<unread_record> later;
    for (unread_record& record : std::exchange(this->unread, {}))
    {
        if (this->unread_begin <= after && record.offset >= after)
            later.push_back(std::move(record));
    }
    return later;
}

} // namespace pomelorouter::coordination
