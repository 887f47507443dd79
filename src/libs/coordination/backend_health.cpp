#include "coordination/backend_health.hpp"

#include "state/enum_table.hpp"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <boost/msm/front/states.hpp>

namespace pomelorouter::coordination
{

namespace
{

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct slow_event
{
};
struct failed_event
{
};
struct normal_event
{
};
struct probe_sent_event
{
};
struct reinstated_event
{
};

struct health_definition : msm::front::state_machine_def<health_definition>
{
    struct healthy : msm::front::state<>
    {
    };
    struct suspect : msm::front::state<>
    {
    };
    struct ejected : msm::front::state<>
    {
    };
    struct probing : msm::front::state<>
    {
    };
    using initial_state = healthy;

    // A single slow observation only leads to `suspect`; ejecting at once would eject too
    // many backend servers because of noise.
    // clang-format off
    struct transition_table : boost::mpl::vector<
        //  from     event             to
        Row<healthy, slow_event,       suspect, none, none>,
        Row<healthy, failed_event,     ejected, none, none>,
        Row<suspect, slow_event,       ejected, none, none>,
        Row<suspect, failed_event,     ejected, none, none>,
        Row<suspect, normal_event,     healthy, none, none>,
        Row<ejected, probe_sent_event, probing, none, none>,
        Row<ejected, normal_event,     healthy, none, none>,
        Row<ejected, reinstated_event,     suspect, none, none>,
        Row<probing, normal_event,     healthy, none, none>,
        Row<probing, slow_event,       ejected, none, none>,
        Row<probing, failed_event,     ejected, none, none>,
        Row<probing, reinstated_event,     suspect, none, none>>
    {
    };
    // clang-format on

    template <class Machine, class Event>
    void no_transition(const Event&, Machine&, int)
    {
    }
};

constexpr std::array<state::enum_name<health>, 4> health_names{{
    {health::healthy, "healthy"},
    {health::suspect, "suspect"},
    {health::ejected, "ejected"},
    {health::probing, "probing"},
}};

} // namespace

std::string_view to_string(health value)
{
    return name_of(health_names, value);
}

class backend_health::machine : public msm::back::state_machine<health_definition>
{
};

backend_health::backend_health() : impl(std::make_unique<machine>())
{
    this->impl->start();
}

backend_health::~backend_health() = default;
backend_health::backend_health(backend_health&&) noexcept = default;
backend_health& backend_health::operator=(backend_health&&) noexcept = default;

health backend_health::state() const
{
    // MSM numbers the states in the order of their first use in the table, source states
    // first, which is the order of the enumeration.
    return static_cast<health>(this->impl->current_state()[0]);
}

void backend_health::on_slow()
{
    this->impl->process_event(slow_event());
}

void backend_health::on_failed()
{
    this->impl->process_event(failed_event());
}

void backend_health::on_normal()
{
    this->impl->process_event(normal_event());
}

void backend_health::on_probe_sent()
{
    this->impl->process_event(probe_sent_event());
}

void backend_health::on_reinstated()
{
    this->impl->process_event(reinstated_event());
}

} // namespace pomelorouter::coordination
