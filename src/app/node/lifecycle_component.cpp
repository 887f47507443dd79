#include "app/node/lifecycle_component.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace pomelorouter::app
{

using coordination::node_phase;
using state::attribute;

namespace
{

// A caller that connected before the listener was closed may have a request in transit,
// so the node stops only after it has had no requests for this time, which is several
// round trips within a region.
constexpr state::milliseconds min_idle_time{500};

} // namespace

lifecycle_component::lifecycle_component(control_loop& control,
                                         membership_component& membership,
                                         transport::http_server& http,
                                         boost::asio::io_context& serving,
                                         state::event_log& event_log,
                                         std::function<void()> stopped)
    : loop(control),
      members(membership),
      server(http),
      serving_loop(serving),
      events(event_log),
      on_stopped(std::move(stopped))
{
}

void lifecycle_component::request_stop()
{
    const auto now = std::chrono::steady_clock::now();
    this->lifecycle.on_stop_requested(now, this->read_drain_times());
    this->enter(this->lifecycle.phase());
}

void lifecycle_component::on_tick(state::time_point now)
{
    std::size_t in_flight = this->server.requests_in_flight();
    if (in_flight > 0)
        this->last_busy = now;
    else if (now - this->last_busy < min_idle_time)
        in_flight = 1;
    this->lifecycle.on_tick(now, in_flight);
    this->enter(this->lifecycle.phase());
}

void lifecycle_component::contribute(state::node_view& view)
{
    if (view.ready == state::readiness::ready)
        this->lifecycle.on_ready();
}

void lifecycle_component::enter(node_phase phase)
{
    if (phase == std::exchange(this->last_phase, phase))
        return;
    this->events.record("node_phase", {{"phase", std::string(to_string(phase))}});
    switch (phase)
    {
    case node_phase::starting:
    case node_phase::serving:
        break;
    case node_phase::withdrawing:
        this->members.announce_leaving();
        boost::asio::post(this->serving_loop, [this] { this->server.announce_close(); });
        break;
    case node_phase::draining:
        this->last_busy = std::chrono::steady_clock::now();
        boost::asio::post(this->serving_loop, [this] { this->server.stop_accepting(); });
        break;
    case node_phase::stopped:
        if (this->lifecycle.was_cut_short())
            this->events.record("node_stop_cut_short", {});
        this->on_stopped();
        break;
    }
}

coordination::drain_times lifecycle_component::read_drain_times() const
{
    coordination::drain_times result;
    const state::attribute_values defaults;
    const auto view = this->loop.views().load();
    const state::attribute_values& values =
        view->current_settings ? view->current_settings->attributes : defaults;
    result.withdraw = state::seconds(values.get(attribute::address_ttl_s));
    result.limit = state::seconds(values.get(attribute::drain_limit_s));
    return result;
}

} // namespace pomelorouter::app
