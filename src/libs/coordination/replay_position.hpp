#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::coordination
{

/// Read position in a stream whose old records expire. The state computed from the stream
/// is known if the stream was read from offset 0, or if a snapshot covers all records
/// before the first one read.
class replay_position
{
public:
    /// A record that was read while the state was unknown.
    struct buffered_record
    {
        std::uint64_t offset = 0;
        std::string data;
    };

    /// Sets the offset of the next record. Returns true if the stream starts there, so
    /// that the state is known and empty.
    bool begin_at(std::uint64_t first);
    bool is_known() const { return this->known; }
    /// Returns the offset of the next record to apply.
    std::uint64_t next_offset() const { return this->next; }
    /// Moves past the record at `offset`, which has been applied or skipped.
    void advance(std::uint64_t offset) { this->next = offset + 1; }
    /// Stores a record until a snapshot makes the state known.
    void buffer_record(std::uint64_t offset, std::string_view data);
    /// Whether a snapshot up to `upto` covers all records before the first one read.
    bool covers_missed_records(std::uint64_t upto) const;
    /// Moves to the state after `upto`. Returns the stored records to apply next, or
    /// nothing if the current state is as new.
    std::optional<std::vector<buffered_record>> adopt(std::uint64_t upto);

private:
    bool known = false;
    std::uint64_t next = 0;
    /// While the state is unknown: the first offset read and the records since then.
    std::uint64_t buffer_begin = 0;
    std::vector<buffered_record> buffered;
};

} // namespace pomelorouter::coordination
