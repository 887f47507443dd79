#pragma once

#include "protocol/backend_page.hpp"
#include "state/backend_entry.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelorouter::coordination
{

/// One record of the list of backend servers with its parsed entry.
struct feed_record
{
    std::uint64_t offset = 0;
    std::string key;
    std::string value;
    bool is_removal = false;
    /// Empty if the value cannot be parsed or the record is a removal.
    std::optional<state::backend_entry> entry;
};

/// Keeps the newest record of each backend server, so that a gateway can serve the list
/// to other gateways, which then need not read it from the store. Backend servers write
/// about once a second and mostly repeat the previous value; pages omit such values.
class backend_feed
{
public:
    /// Replaces all records after the complete list was read up to the offset `next`.
    void replace_all(std::uint64_t next, const std::vector<feed_record>& records);
    /// Applies a record that was read; ignores records older than the known one.
    void apply(const feed_record& record);
    /// Sets the offset to read from next; empty if the complete list has to be read
    /// again.
    void set_next(std::optional<std::uint64_t> next) { this->next_offset = next; }
    /// Offset to read from next; empty before the complete list was read.
    std::optional<std::uint64_t> next() const { return this->next_offset; }
    /// Returns the records from offset `from` on, or all records if `from` is empty or
    /// too old for the changes since then to be known.
    protocol::backend_page page(std::optional<std::uint64_t> from) const;
    /// Returns the records of `page` with the values that it omits. Throws `state::error`
    /// (`malformed_record`) if an omitted value is unknown.
    std::vector<feed_record> complete(const protocol::backend_page& page) const;

private:
    struct tracked_record
    {
        feed_record record;
        /// Offset of the first record with the present value.
        std::uint64_t unchanged_since = 0;
    };

    void forget_old_removals();

    std::map<std::string, tracked_record> items;
    std::size_t removals = 0;
    /// Removals before this offset are not known.
    std::uint64_t first_known_offset = 0;
    std::optional<std::uint64_t> next_offset;
};

} // namespace pomelorouter::coordination
