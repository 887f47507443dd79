#include "coordination/backend_feed.hpp"

#include "state/error.hpp"

#include <algorithm>
#include <utility>

namespace pomelorouter::coordination
{

namespace
{

constexpr std::size_t max_removals = 500;

bool is_same(const feed_record& left, const feed_record& right)
{
    if (left.is_removal || right.is_removal)
        return left.is_removal == right.is_removal;
    // Records of one backend server also differ in fields that no reader uses.
    if (left.entry && right.entry)
        return *left.entry == *right.entry;
    return left.value == right.value;
}

} // namespace

void backend_feed::replace_all(std::uint64_t next,
                               const std::vector<feed_record>& records)
{
    this->items.clear();
    this->removals = 0;
    this->first_known_offset = next;
    this->next_offset = next;
    for (const feed_record& record : records)
        this->apply(record);
}

void backend_feed::apply(const feed_record& record)
{
    const auto found = this->items.find(record.key);
    std::uint64_t since = record.offset;
    if (found != this->items.end())
    {
        if (record.offset < found->second.record.offset)
            return;
        if (is_same(found->second.record, record))
            since = found->second.unchanged_since;
        this->removals -= found->second.record.is_removal ? 1 : 0;
    }
    this->items[record.key] = {record, since};
    this->removals += record.is_removal ? 1 : 0;
    if (this->removals > max_removals)
        this->forget_old_removals();
}

protocol::backend_page backend_feed::page(std::optional<std::uint64_t> from) const
{
    protocol::backend_page result;
    result.next = this->next_offset.value_or(0);
    result.is_full_list = !from || *from < this->first_known_offset;
    for (const auto& [key, item] : this->items)
    {
        const feed_record& record = item.record;
        if (result.is_full_list ? record.is_removal : record.offset < *from)
            continue;
        protocol::backend_page_record& sent = result.records.emplace_back();
        sent.offset = record.offset;
        sent.key = key;
        sent.is_removal = record.is_removal;
        if (result.is_full_list || item.unchanged_since >= *from)
            sent.value = record.value;
    }
    std::sort(result.records.begin(), result.records.end(),
              [](const auto& left, const auto& right)
              { return left.offset < right.offset; });
    return result;
}

std::vector<feed_record> backend_feed::complete(const protocol::backend_page& page) const
{
    std::vector<feed_record> result;
    for (const protocol::backend_page_record& received : page.records)
    {
        feed_record& record = result.emplace_back();
        record.offset = received.offset;
        record.key = received.key;
        record.is_removal = received.is_removal;
        if (received.value)
        {
            record.value = *received.value;
            continue;
        }
        if (received.is_removal)
            continue;
        const auto known = this->items.find(received.key);
        if (known == this->items.end() || known->second.record.is_removal)
        {
            throw state::error(state::error_code::malformed_record, received.key,
                               "a value, since no earlier value of the key is known");
        }
        record.value = known->second.record.value;
        record.entry = known->second.record.entry;
    }
    return result;
}

void backend_feed::forget_old_removals()
{
    std::vector<std::uint64_t> offsets;
    for (const auto& [key, item] : this->items)
    {
        if (item.record.is_removal)
            offsets.push_back(item.record.offset);
    }
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    const std::uint64_t last_forgotten = *middle;
    std::erase_if(this->items,
                  [&](const auto& entry)
                  {
                      const feed_record& record = entry.second.record;
                      return record.is_removal && record.offset <= last_forgotten;
                  });
    this->first_known_offset = std::max(this->first_known_offset, last_forgotten + 1);
    this->removals = static_cast<std::size_t>(
        std::count_if(this->items.begin(), this->items.end(),
                      [](const auto& entry) { return entry.second.record.is_removal; }));
}

} // namespace pomelorouter::coordination
