#pragma once

#include "app/node/control_component.hpp"
#include "app/node/control_loop.hpp"
#include "app/node/membership_component.hpp"
#include "coordination/node_lifecycle.hpp"
#include "state/event_log.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace pomelorouter::app
{

/// Performs the planned stop of the node. Must be added after the components that
/// determine whether the node is ready.
class lifecycle_component : public control_component
{
public:
    /// `on_stopped` is called once, on the control thread, when the process may exit.
    lifecycle_component(control_loop& loop, membership_component& members,
                        transport::http_server& server,
                        boost::asio::io_context& serving_loop, state::event_log& events,
                        std::function<void()> on_stopped);

    /// Begins a planned stop; a second call completes it immediately. Call on the control
    /// thread.
    void request_stop();

    void on_tick(state::time_point now) override;
    void contribute(state::node_view& view) override;

private:
    void enter(coordination::node_phase phase);
    coordination::drain_times read_drain_times() const;

    control_loop& loop;
    membership_component& members;
    transport::http_server& server;
    boost::asio::io_context& serving_loop;
    state::event_log& events;
    std::function<void()> on_stopped;
    coordination::node_lifecycle lifecycle;
    coordination::node_phase last_phase = coordination::node_phase::starting;
    state::time_point last_busy{};
};

} // namespace pomelorouter::app
