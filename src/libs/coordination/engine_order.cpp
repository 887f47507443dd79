#include "coordination/engine_order.hpp"

#include "state/enum_table.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <utility>

namespace pomelorouter::coordination
{

using protocol::order_result;

namespace
{

namespace front = boost::msm::front;

constexpr std::array<state::enum_name<order_stage>, 6> stage_names{{
    {order_stage::intended, "intended"},
    {order_stage::confirmed, "confirmed"},
    {order_stage::sent, "sent"},
    {order_stage::done, "done"},
    {order_stage::failed, "failed"},
    {order_stage::abandoned, "abandoned"},
}};

struct intent_valid
{
};
struct intent_invalid
{
};
struct sending
{
};
struct engine_finished
{
};
struct engine_failed
{
};
struct withdrawn
{
};
/// The engine has not received the order and can no longer receive it.
struct delivery_excluded
{
};

struct intended_state : front::state<>
{
};
struct confirmed_state : front::state<>
{
};
struct sent_state : front::state<>
{
};
struct done_state : front::state<>
{
};
struct failed_state : front::state<>
{
};
struct abandoned_state : front::state<>
{
};

struct order_definition : front::state_machine_def<order_definition>
{
    using initial_state = intended_state;

    // The only transition to `sent` is from `confirmed`: an order whose intent was not
    // valid in the log is never sent.
    // clang-format off
    struct transition_table : boost::mpl::vector<
        front::Row<intended_state,  intent_valid,      confirmed_state>,
        front::Row<confirmed_state, sending,           sent_state>,
        front::Row<sent_state,      engine_finished,   done_state>,
        front::Row<sent_state,      engine_failed,     failed_state>,
        front::Row<intended_state,  intent_invalid,    abandoned_state>,
        front::Row<confirmed_state, withdrawn,         abandoned_state>,
        front::Row<sent_state,      delivery_excluded, abandoned_state>>
    {
    };
    // clang-format on

    template <typename Machine, typename Event>
    void no_transition(const Event&, Machine&, int)
    {
    }
};

} // namespace

struct engine_order::machine
{
    boost::msm::back::state_machine<order_definition> back;

    template <typename Event>
    void process(const Event& event)
    {
        this->back.process_event(event);
    }
};

std::string_view to_string(order_stage stage)
{
    return name_of(stage_names, stage);
}

engine_order::engine_order(protocol::order_intent intent)
    : order(std::move(intent)), states(std::make_unique<machine>())
{
    this->states->back.start();
}

engine_order::~engine_order() = default;
engine_order::engine_order(engine_order&&) noexcept = default;
engine_order& engine_order::operator=(engine_order&&) noexcept = default;

order_stage engine_order::stage() const
{
    // Boost.MSM numbers the states in the order of their first use in the table.
    return static_cast<order_stage>(this->states->back.current_state()[0]);
}

bool engine_order::is_ended() const
{
    return this->stage() >= order_stage::done;
}

void engine_order::on_intent_applied(bool is_valid)
{
    if (!is_valid)
    {
        this->states->process(intent_invalid{});
        return;
    }
    this->was_valid = true;
    this->states->process(intent_valid{});
}

bool engine_order::may_send(std::uint64_t held_epoch, state::time_point now) const
{
    if (held_epoch != this->order.epoch || this->attempt_running || this->refused)
        return false;
    const order_stage present = this->stage();
    return present == order_stage::confirmed ||
           (present == order_stage::sent && now >= this->next_attempt);
}

void engine_order::on_sending()
{
    this->attempt_running = true;
    this->states->process(sending{});
}

void engine_order::on_attempt_ended(state::time_point now,
                                    state::milliseconds retry_delay)
{
    this->attempt_running = false;
    this->last_attempt_end = now;
    this->next_attempt = now + retry_delay;
}

void engine_order::on_stale_fence()
{
    this->refused = true;
}

void engine_order::on_inventory(const state::engine_inventory& inventory,
                                state::time_point requested, std::uint64_t held_epoch,
                                state::milliseconds margin)
{
    if (this->stage() != order_stage::sent || this->attempt_running)
        return;
    for (const auto& status : inventory.orders)
    {
        if (status.order_id != this->order.order_id)
            continue;
        if (status.status == "done")
            this->states->process(engine_finished{});
        else if (status.status == "failed")
            this->states->process(engine_failed{});
        return;
    }
    // While this process holds the lease, it repeats the order until the engine lists it.
    if (held_epoch == this->order.epoch && !this->refused)
        return;
    // An attempt whose response was lost may still arrive within the margin.
    if (requested > this->last_attempt_end + margin)
        this->states->process(delivery_excluded{});
}

void engine_order::on_engine_gone(state::time_point now, state::milliseconds margin)
{
    if (!this->attempt_running && now > this->last_attempt_end + margin)
        this->states->process(delivery_excluded{});
}

void engine_order::withdraw()
{
    this->states->process(withdrawn{});
}

std::optional<order_result> engine_order::result() const
{
    switch (this->stage())
    {
    case order_stage::done:
        return order_result::done;
    case order_stage::failed:
        return order_result::failed;
    case order_stage::abandoned:
        return this->was_valid ? std::optional(order_result::not_sent) : std::nullopt;
    default:
        return std::nullopt;
    }
}

} // namespace pomelorouter::coordination
