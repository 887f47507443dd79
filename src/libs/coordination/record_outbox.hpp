#pragma once

#include "protocol/fleet_records.hpp"
#include "state/clock.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace pomelorouter::coordination
{

/// How an append ended, as far as the writer knows.
enum class append_end
{
    appended,
    not_appended,
    /// The answer was lost; the record may be in the log.
    unknown,
};

/// Appends the records of one process in order and one at a time. A record whose append
/// may have failed is appended again unchanged; the folds skip the second copy by its
/// sequence number.
class record_outbox
{
public:
    record_outbox(std::string writer, std::uint64_t incarnation);

    /// Numbers a record and puts it at the end; returns its sequence number.
    std::uint64_t push(protocol::fleet_record record);
    /// Data to append now, if no append is under way.
    std::optional<std::string> next(state::time_point now);
    void on_append_end(append_end end, state::time_point now);
    /// A record of this process has been folded, which proves that it was appended.
    void on_folded(std::uint64_t sequence);
    bool empty() const { return this->waiting.empty(); }
    /// Whether the last append did not succeed.
    bool is_failing() const { return this->failing; }

private:
    struct entry
    {
        std::uint64_t sequence = 0;
        std::string data;
    };

    std::string writer;
    std::uint64_t incarnation;
    std::uint64_t next_sequence = 1;
    std::deque<entry> waiting;
    bool append_running = false;
    /// The record in flight was confirmed by reading it.
    bool head_confirmed = false;
    bool failing = false;
    state::time_point not_before{};
};

} // namespace pomelorouter::coordination
