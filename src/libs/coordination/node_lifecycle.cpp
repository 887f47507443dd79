#include "coordination/node_lifecycle.hpp"

#include "state/enum_table.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace pomelorouter::coordination
{

namespace
{

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

constexpr std::array<state::enum_name<node_phase>, 5> phase_names{{
    {node_phase::starting, "starting"},
    {node_phase::serving, "serving"},
    {node_phase::withdrawing, "withdrawing"},
    {node_phase::draining, "draining"},
    {node_phase::stopped, "stopped"},
}};

struct became_ready
{
};

struct stop_requested
{
    state::time_point now;
    drain_times times;
};

struct ticked
{
    state::time_point now;
    std::size_t requests_in_flight;
};

struct machine_def : msm::front::state_machine_def<machine_def>
{
    struct starting : msm::front::state<>
    {
    };
    struct serving : msm::front::state<>
    {
    };
    struct withdrawing : msm::front::state<>
    {
    };
    struct draining : msm::front::state<>
    {
    };
    struct stopped : msm::front::state<>
    {
    };
    using initial_state = starting;

    struct set_deadlines
    {
        template <typename Event, typename Machine, typename Source, typename Target>
        void operator()(const Event& event, Machine& machine, Source&, Target&) const
        {
            machine.withdraw_until = event.now + event.times.withdraw;
            machine.stop_at = event.now + event.times.limit;
        }
    };

    struct cut_short
    {
        template <typename Event, typename Machine, typename Source, typename Target>
        void operator()(const Event&, Machine& machine, Source&, Target&) const
        {
            machine.is_cut_short = true;
        }
    };

    struct past_limit
    {
        template <typename Event, typename Machine, typename Source, typename Target>
        bool operator()(const Event& event, Machine& machine, Source&, Target&) const
        {
            return event.now >= machine.stop_at;
        }
    };

    struct past_withdrawal
    {
        template <typename Event, typename Machine, typename Source, typename Target>
        bool operator()(const Event& event, Machine& machine, Source&, Target&) const
        {
            return event.now >= machine.withdraw_until;
        }
    };

    struct nothing_in_flight
    {
        template <typename Event, typename Machine, typename Source, typename Target>
        bool operator()(const Event& event, Machine&, Source&, Target&) const
        {
            return event.requests_in_flight == 0;
        }
    };

    // MSM tries rows with the same state and event from the last to the first.
    // clang-format off
    struct transition_table : boost::mpl::vector<
        Row<starting,    became_ready,   serving,     none,          none>,
        Row<starting,    stop_requested, withdrawing, set_deadlines, none>,
        Row<serving,     stop_requested, withdrawing, set_deadlines, none>,
        Row<withdrawing, stop_requested, stopped,     cut_short,     none>,
        Row<withdrawing, ticked,         draining,    none,          past_withdrawal>,
        Row<withdrawing, ticked,         stopped,     cut_short,     past_limit>,
        Row<draining,    stop_requested, stopped,     cut_short,     none>,
        Row<draining,    ticked,         stopped,     cut_short,     past_limit>,
        Row<draining,    ticked,         stopped,     none,          nothing_in_flight>
    > {};
    // clang-format on

    /// Ignores events that have no transition from the present state.
    template <typename Event, typename Machine>
    void no_transition(const Event&, Machine&, int)
    {
    }

    state::time_point withdraw_until{};
    state::time_point stop_at{};
    bool is_cut_short = false;
};

using lifecycle_machine = msm::back::state_machine<machine_def>;

// MSM numbers the states in the order in which they first appear as sources in the table.
constexpr std::array<node_phase, 5> phase_of_state{
    node_phase::starting, node_phase::serving, node_phase::withdrawing,
    node_phase::draining, node_phase::stopped};

} // namespace

std::string_view to_string(node_phase phase)
{
    return name_of(phase_names, phase);
}

struct node_lifecycle::machine_holder
{
    lifecycle_machine machine;
};

node_lifecycle::node_lifecycle() : machine(std::make_unique<machine_holder>())
{
    this->machine->machine.start();
}

node_lifecycle::~node_lifecycle() = default;

void node_lifecycle::on_ready()
{
    this->machine->machine.process_event(became_ready{});
}

void node_lifecycle::on_stop_requested(state::time_point now, const drain_times& times)
{
    this->machine->machine.process_event(stop_requested{now, times});
}

void node_lifecycle::on_tick(state::time_point now, std::size_t requests_in_flight)
{
    this->machine->machine.process_event(ticked{now, requests_in_flight});
}

node_phase node_lifecycle::phase() const
{
    const int index = this->machine->machine.current_state()[0];
    return phase_of_state.at(static_cast<std::size_t>(index));
}

bool node_lifecycle::was_cut_short() const
{
    return this->machine->machine.is_cut_short;
}

} // namespace pomelorouter::coordination
