#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::coordination
{

/// Position of a fold in a stream whose old records expire. The folded state is known if
/// the stream was read from offset 0 or from a snapshot that reaches back far enough.
class fold_position
{
public:
    /// A record that was read while the state was unknown.
    struct unread_record
    {
        std::uint64_t offset = 0;
        std::string data;
    };

    /// Tells that the next record comes from `first`. Returns whether the state is now
    /// that of an empty stream.
    bool begin_at(std::uint64_t first);
    bool is_known() const { return this->known; }
    /// Offset of the next record to fold.
    std::uint64_t next_offset() const { return this->next; }
    /// Moves past a record that has been folded.
    void advance(std::uint64_t offset) { this->next = offset + 1; }
    /// Keeps a record until a snapshot makes the state known.
    void keep_unread(std::uint64_t offset, std::string_view data);
    /// Whether no record between the snapshot and the first one read has expired.
    bool reaches_back(std::uint64_t upto) const;
    /// Moves to the state after `upto`, unless that is no progress. Returns the records
    /// to fold after it.
    std::optional<std::vector<unread_record>> adopt(std::uint64_t upto);

private:
    bool known = false;
    std::uint64_t next = 0;
    /// While the state is unknown: where reading began, and what was read since.
    std::uint64_t unread_begin = 0;
    std::vector<unread_record> unread;
};

} // namespace pomelorouter::coordination
