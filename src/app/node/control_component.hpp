#pragma once

#include "app/node/control_event.hpp"
#include "state/clock.hpp"
#include "state/node_view.hpp"

namespace pomelorouter::app
{

/// Receives the events of the control thread and contributes to its snapshots. All
/// functions are called on the control thread.
class control_component
{
public:
    virtual ~control_component() = default;

    virtual void on_page(const stream_page& /*event*/) {}
    virtual void on_truncated(const stream_truncated& /*event*/) {}
    virtual void on_unavailable(const stream_unavailable& /*event*/) {}
    virtual void on_instances(const instances_listed& /*event*/) {}
    virtual void on_engine(const engine_reported& /*event*/) {}
    virtual void on_engine_unreachable(const engine_unreachable& /*event*/) {}
    virtual void on_peer(const peer_received& /*event*/) {}
    virtual void on_tick(state::time_point /*now*/) {}
    /// Adds this component's data to the next snapshot. Components are called in the
    /// order in which they were added to the control loop.
    virtual void contribute(state::node_view& view) = 0;
};

} // namespace pomelorouter::app
