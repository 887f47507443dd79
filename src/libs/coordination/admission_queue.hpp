#pragma once

#include "state/clock.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace pomelorouter::coordination
{

/// A request that waits at its gateway because all engines that could serve it are at
/// their load limit.
struct queue_entry
{
    /// Requests of one group wait for the same engines.
    std::string engine_group;
    /// Priority of the route; 0 is the highest.
    int rank = 0;
    state::time_point arrival{};
    /// Latest time at which the request may be sent for its answer to begin in time.
    state::time_point latest_start{};
    /// Time that an engine takes to process the prompt.
    double work_ms = 0.0;
    /// The engines have no room for this request by its own limits, so it does not keep
    /// others from being sent.
    bool is_held = false;
};

/// Queue that decides the order in which a gateway forwards waiting requests. Requests
/// that can still be answered in time precede those that are already late, since serving
/// the late ones first would delay the others past their targets too. Requests that are
/// equal in this are ordered by rank, then by arrival.
class admission_queue
{
public:
    using ticket = std::uint64_t;

    ticket enter(queue_entry entry);
    void leave(ticket number);
    void set_held(ticket number, bool is_held);
    /// Whether no other request of the same group that could be sent precedes this one.
    bool is_next(state::time_point now, ticket number) const;
    /// Whether the request can still be answered in time.
    bool is_in_time(state::time_point now, ticket number) const;
    /// Total engine time of the requests of the same group that precede this one.
    double work_ahead_ms(state::time_point now, ticket number) const;
    std::size_t size() const { return this->entries.size(); }

private:
    static bool precedes(state::time_point now, const queue_entry& left,
                         ticket left_number, const queue_entry& right,
                         ticket right_number);

    std::map<ticket, queue_entry> entries;
    ticket last_ticket = 0;
};

} // namespace pomelorouter::coordination
