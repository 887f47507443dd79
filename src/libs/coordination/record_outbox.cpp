#include "coordination/record_outbox.hpp"

#include <utility>

namespace pomelorouter::coordination
{

namespace
{
// Appends are retried at this interval while the log is unavailable or over its capacity.
constexpr state::milliseconds retry_delay{500};
} // namespace

record_outbox::record_outbox(std::string writer_id, std::uint64_t writer_incarnation)
    : writer(std::move(writer_id)), incarnation(writer_incarnation)
{
}

std::uint64_t record_outbox::push(protocol::fleet_record record)
{
    protocol::record_header& header = protocol::header_of(record);
    header.writer = this->writer;
    header.incarnation = this->incarnation;
    header.sequence = this->next_sequence++;
    this->waiting.push_back({header.sequence, protocol::format_fleet_record(record)});
    return this->waiting.back().sequence;
}

std::optional<std::string> record_outbox::next(state::time_point now)
{
    if (this->append_running || this->waiting.empty() || now < this->not_before)
        return std::nullopt;
    this->append_running = true;
    return this->waiting.front().data;
}

void record_outbox::on_append_outcome(append_outcome end, state::time_point now)
{
    this->append_running = false;
    const bool confirmed = std::exchange(this->head_confirmed, false);
    this->failing = end != append_outcome::appended;
    if (confirmed)
        return;
    if (end == append_outcome::appended)
        this->waiting.pop_front();
    else
        this->not_before = now + retry_delay;
}

void record_outbox::on_read_back(std::uint64_t sequence)
{
    if (this->waiting.empty() || this->waiting.front().sequence != sequence)
        return;
    this->waiting.pop_front();
    this->head_confirmed = this->append_running;
}

} // namespace pomelorouter::coordination
