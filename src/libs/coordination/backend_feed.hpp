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

/// One record of the list of backend servers, with what was read from it.
struct feed_record
{
    std::uint64_t offset = 0;
    std::string key;
    std::string value;
    bool is_removal = false;
    /// Nothing if the value is unreadable or a removal.
    std::optional<state::backend_entry> entry;
};

/// The newest record of each backend server, so that a gateway can answer others that
/// would else read the same from the store. Backend servers write about once a second,
/// mostly what they wrote before; such records are passed on without their value.
class backend_feed
{
public:
    /// The list was read as a whole up to `next`.
    void replace_all(std::uint64_t next, const std::vector<feed_record>& records);
    /// A record was read.
    void apply(const feed_record& record);
    /// Nothing if the list has to be read as a whole again.
    void set_next(std::optional<std::uint64_t> next) { this->end = next; }
    /// Offset to read from next; nothing before the first whole read.
    std::optional<std::uint64_t> next() const { return this->end; }
    /// The records from `from` on, or all if they are no longer known one by one.
    protocol::backend_page page(std::optional<std::uint64_t> from) const;
    /// Adds the values that `page` leaves out. Throws `state::error`
    /// (`malformed_record`) if one is unknown here.
    std::vector<feed_record> complete(const protocol::backend_page& page) const;

private:
    struct tracked_record
    {
        feed_record record;
        /// Offset from which on the key has had this value.
        std::uint64_t unchanged_since = 0;
    };

    void forget_old_removals();

    std::map<std::string, tracked_record> items;
    std::size_t removals = 0;
    /// Before this offset removals are not known.
    std::uint64_t known_from = 0;
    std::optional<std::uint64_t> end;
};

} // namespace pomelorouter::coordination
