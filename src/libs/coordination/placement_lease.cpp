#include "coordination/placement_lease.hpp"

#include "state/enum_table.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>
#include <utility>

namespace pomelorouter::coordination
{

namespace
{

namespace front = boost::msm::front;

constexpr std::array<state::enum_name<lease_position>, 4> position_names{{
    {lease_position::follower, "follower"},
    {lease_position::claiming, "claiming"},
    {lease_position::holder, "holder"},
    {lease_position::lost, "lost"},
}};

// A candidate waits this fraction of the lease duration for each candidate before it, so
// that normally only one claims.
constexpr int stagger_divisor = 8;
constexpr std::size_t max_stagger_rank = 16;

struct claim_sent
{
};
/// According to the log this node is the holder.
struct lease_acquired
{
};
/// According to the log another node or none is the holder.
struct lease_not_held
{
};
/// The claim was not read back from the log in time.
struct claim_timed_out
{
};
struct orders_closed
{
};

struct follower_state : front::state<>
{
};
struct claiming_state : front::state<>
{
};
struct holder_state : front::state<>
{
};
struct lost_state : front::state<>
{
};

struct lease_definition : front::state_machine_def<lease_definition>
{
    using initial_state = follower_state;

    // An own claim may take effect at any time after it was sent, so a node that has
    // returned to follower may still become the holder.
    // clang-format off
    struct transition_table : boost::mpl::vector<
        front::Row<follower_state, claim_sent,      claiming_state>,
        front::Row<follower_state, lease_acquired,  holder_state>,
        front::Row<claiming_state, lease_acquired,  holder_state>,
        front::Row<claiming_state, lease_not_held,  follower_state>,
        front::Row<claiming_state, claim_timed_out, follower_state>,
        front::Row<holder_state,   lease_not_held,  lost_state>,
        front::Row<lost_state,     orders_closed,   follower_state>,
        front::Row<lost_state,     lease_acquired,  holder_state>>
    {
    };
    // clang-format on

    // An event without a transition in the current state is ignored.
    template <typename Machine, typename Event>
    void no_transition(const Event&, Machine&, int)
    {
    }
};

} // namespace

struct placement_lease::machine
{
    boost::msm::back::state_machine<lease_definition> back;

    template <typename Event>
    void process(const Event& event)
    {
        this->back.process_event(event);
    }
};

std::string_view to_string(lease_position position)
{
    return name_of(position_names, position);
}

placement_lease::placement_lease(std::string node_id, std::uint64_t node_incarnation)
    : node(std::move(node_id)),
      incarnation(node_incarnation),
      states(std::make_unique<machine>())
{
    this->states->back.start();
}

placement_lease::~placement_lease() = default;

void placement_lease::set_timing(const lease_timing& value)
{
    this->timing = value;
}

lease_position placement_lease::position() const
{
    // Boost.MSM numbers the states in the order of their first use in the table.
    return static_cast<lease_position>(this->states->back.current_state()[0]);
}

bool placement_lease::is_own_lease() const
{
    return this->current.held && this->current.holder == this->node &&
           this->current.incarnation == this->incarnation;
}

void placement_lease::on_page_applied(state::time_point now,
                                      const protocol::lease_state& lease, bool has_record)
{
    const bool changed = lease != this->current;
    this->current = lease;
    if (has_record || changed || !this->was_read)
    {
        this->last_record = now;
        this->was_read = true;
    }
    if (this->is_own_lease())
        this->states->process(lease_acquired{});
    else if (changed || this->is_holder())
        this->states->process(lease_not_held{});
}

lease_action placement_lease::on_tick(state::time_point now, std::size_t rank,
                                      bool may_hold)
{
    if (!may_hold || !this->was_read)
        return lease_action::none;
    switch (this->position())
    {
    case lease_position::holder:
        if (now - this->last_action < this->timing.renew)
            return lease_action::none;
        this->last_action = now;
        return lease_action::renew;
    case lease_position::claiming:
        if (now - this->last_action >= this->timing.duration)
            this->states->process(claim_timed_out{});
        return lease_action::none;
    case lease_position::lost:
        return lease_action::none;
    case lease_position::follower:
        break;
    }
    // The first candidate claims a free lease at once.
    const auto stagger = this->timing.duration *
                         static_cast<int>(std::min(rank, max_stagger_rank)) /
                         stagger_divisor;
    const auto wait =
        (this->current.held ? this->timing.duration : state::milliseconds(0)) + stagger;
    if (now - this->last_record < wait)
        return lease_action::none;
    this->last_action = now;
    this->states->process(claim_sent{});
    return lease_action::claim;
}

void placement_lease::on_orders_closed()
{
    this->states->process(orders_closed{});
}

} // namespace pomelorouter::coordination
