#pragma once

#include "app/node/control_component.hpp"
#include "state/counters.hpp"
#include "state/node_view.hpp"
#include "state/snapshot_cell.hpp"
#include "transport/mailbox.hpp"
#include "transport/timer_service.hpp"

#include <memory>
#include <vector>

namespace pomelorouter::app
{

using view_cell = state::snapshot_cell<state::node_view>;
using control_mailbox = transport::mailbox<control_event>;

/// Dispatches events to the components of the control thread and publishes the snapshots
/// that they contribute to.
class control_loop
{
public:
    control_loop(boost::asio::any_io_executor executor, transport::timer_service& timers,
                 state::counter_registry& counters);
    ~control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    /// Adds a component, which must outlive the loop. Call before `start()`.
    void add(control_component& component);
    void start();
    /// Requests that the next tick publish a new snapshot. Call on the control thread.
    void mark_changed() { this->changed = true; }

    control_mailbox& mailbox() { return *this->events; }
    const view_cell& views() const { return this->cell; }

private:
    void handle(const control_event& event);
    void tick(state::time_point now);
    void publish_if_changed();

    boost::asio::any_io_executor executor;
    transport::timer_service& timers;
    std::shared_ptr<control_mailbox> events;
    view_cell cell;
    std::vector<control_component*> components;
    std::unique_ptr<transport::timer_subscription> ticks;
    bool changed = true;
};

} // namespace pomelorouter::app
