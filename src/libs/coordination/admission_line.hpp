#pragma once

#include "state/clock.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace pomelorouter::coordination
{

/// A request that waits at its gateway because all engines that could serve it have
/// enough to do.
struct line_entry
{
    /// Requests of one lane wait for the same engines.
    std::string lane;
    /// Rank of the route, 0 first.
    int rank = 0;
    state::time_point arrival{};
    /// From here on the answer is late, however soon it begins.
    state::time_point in_time_until{};
    /// Time that an engine needs for the prompt.
    double work_ms = 0.0;
};

/// Order in which waiting requests are sent on. Requests that can still be answered in
/// time go before those that are late anyway; among them the rank decides, then the
/// arrival. Sending the late ones first would make the others late as well.
class admission_line
{
public:
    using ticket = std::uint64_t;

    ticket enter(line_entry entry);
    void leave(ticket number);
    /// Whether no other request of the lane goes first.
    bool is_next(state::time_point now, ticket number) const;
    /// Whether the request can still be answered in time.
    bool is_in_time(state::time_point now, ticket number) const;
    /// Engine time of the requests of the lane that go first.
    double work_ahead_ms(state::time_point now, ticket number) const;
    std::size_t size() const { return this->entries.size(); }

private:
    static bool goes_before(state::time_point now, const line_entry& left,
                            ticket left_number, const line_entry& right,
                            ticket right_number);

    std::map<ticket, line_entry> entries;
    ticket last = 0;
};

} // namespace pomelorouter::coordination
