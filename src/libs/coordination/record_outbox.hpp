#pragma once

#include "protocol/fleet_records.hpp"
#include "state/clock.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace pomelorouter::coordination
{

/// Result of an append, as far as the writer knows.
enum class append_outcome
{
    appended,
    not_appended,
    /// The response was lost; the record may be in the log.
    unknown,
};

/// Queue that appends the records of one process in order and one at a time. A record
/// whose append may have failed is appended again unchanged; readers use the sequence
/// number to skip duplicates.
class record_outbox
{
public:
    record_outbox(std::string writer, std::uint64_t incarnation);

    /// Queues a record and returns the sequence number assigned to it.
    std::uint64_t push(protocol::fleet_record record);
    /// Returns the record to append now, or nothing if none is due or one is in progress.
    std::optional<std::string> next(state::time_point now);
    void on_append_outcome(append_outcome end, state::time_point now);
    /// Removes a queued record that was read back from the log, so its append succeeded.
    void on_read_back(std::uint64_t sequence);
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
    /// Whether the record in flight was read back before its append ended.
    bool head_confirmed = false;
    bool failing = false;
    state::time_point not_before{};
};

} // namespace pomelorouter::coordination
