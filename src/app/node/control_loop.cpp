#include "app/node/control_loop.hpp"

#include <utility>

namespace pomelorouter::app
{

namespace
{

constexpr std::size_t mailbox_capacity = 4096;
// The loop publishes at most one snapshot a tick, so that the cost does not grow with the
// number of reports. The period is the publication delay in the upper bound on the time
// after which a leaving backend server gets no new requests.
constexpr state::milliseconds tick_period{100};

template <typename... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace

control_loop::control_loop(boost::asio::any_io_executor loop_executor,
                           transport::timer_service& timer_service,
                           state::counter_registry& counters)
    : executor(std::move(loop_executor)),
      timers(timer_service),
      cell(std::make_shared<const state::node_view>())
{
    this->events = std::make_shared<control_mailbox>(
        this->executor, mailbox_capacity,
        [this](const control_event& event) { this->handle(event); },
        counters.count("control_ring_full_total",
                       "messages refused because the control thread's ring was full"));
}

control_loop::~control_loop() = default;

void control_loop::add(control_component& component)
{
    this->components.push_back(&component);
}

void control_loop::start()
{
    this->ticks = this->timers.every(tick_period, this->executor,
                                     [this](state::time_point now) { this->tick(now); });
}

void control_loop::handle(const control_event& event)
{
    const auto notify_all = [this](auto member, const auto& item)
    {
        for (control_component* component : this->components)
            (component->*member)(item);
    };
    std::visit(
        overloaded{
            [&](const stream_page& item)
            { notify_all(&control_component::on_page, item); },
            [&](const stream_truncated& item)
            { notify_all(&control_component::on_truncated, item); },
            [&](const stream_unavailable& item)
            { notify_all(&control_component::on_unavailable, item); },
            [&](const instances_listed& item)
            { notify_all(&control_component::on_instances, item); },
            [&](const engine_reported& item)
            { notify_all(&control_component::on_engine, item); },
            [&](const engine_unreachable& item)
            { notify_all(&control_component::on_engine_unreachable, item); },
            [&](const peer_received& item)
            { notify_all(&control_component::on_peer, item); },
            [](const control_task& item) { item.run(); },
        },
        event);
}

void control_loop::tick(state::time_point now)
{
    for (control_component* component : this->components)
        component->on_tick(now);
    this->publish_if_changed();
}

void control_loop::publish_if_changed()
{
    if (!std::exchange(this->changed, false))
        return;
    auto view = std::make_shared<state::node_view>();
    for (control_component* component : this->components)
        component->contribute(*view);
    this->cell.store(std::move(view));
}

} // namespace pomelorouter::app
