#include "app/node/node_process.hpp"

#include "app/node/admin_api.hpp"
#include "app/node/caller_api.hpp"
#include "app/node/claims_component.hpp"
#include "app/node/completion_proxy.hpp"
#include "app/node/control_loop.hpp"
#include "app/node/demand_tracker.hpp"
#include "app/node/engine_poller.hpp"
#include "app/node/fleet_component.hpp"
#include "app/node/lifecycle_component.hpp"
#include "app/node/membership_component.hpp"
#include "app/node/membership_peer_status.hpp"
#include "app/node/order_dispatcher.hpp"
#include "app/node/placement_component.hpp"
#include "app/node/platform_client.hpp"
#include "app/node/process_clock.hpp"
#include "app/node/service_proxy.hpp"
#include "app/node/settings_component.hpp"
#include "state/counters.hpp"
#include "state/event_log.hpp"
#include "state/log.hpp"
#include "transport/event_loop_thread.hpp"
#include "transport/http_server.hpp"
#include "transport/peer_network.hpp"
#include "transport/thread_timer_service.hpp"

#include <boost/asio/signal_set.hpp>

#include <chrono>
#include <csignal>
#include <iostream>
#include <random>
#include <string>

namespace pomelorouter::app
{

namespace
{

constexpr state::milliseconds list_poll_period{1000};

// Random bits that distinguish two starts within the same millisecond.
constexpr unsigned incarnation_random_bits = 20;

std::uint64_t random_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::uint64_t make_incarnation()
{
    // The high bits are the start time, so that peers can tell which of two processes
    // with the same node id started later. The value fits a signed 64-bit integer, which
    // is what the peer protocol and JSON readers support.
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    const auto now = static_cast<std::uint64_t>(
        std::chrono::duration_cast<state::milliseconds>(since_epoch).count());
    constexpr std::uint64_t random_mask = (1ULL << incarnation_random_bits) - 1;
    return (now << incarnation_random_bits) | (random_seed() & random_mask);
}

control_event received_event(transport::peer_delivery delivery)
{
    return peer_received{std::move(delivery)};
}

transport::http_server_limits server_limits(const state::process_settings& settings)
{
    transport::http_server_limits limits;
    limits.max_connections = static_cast<std::size_t>(settings.max_connections);
    limits.max_body_bytes = static_cast<std::size_t>(settings.max_body_bytes);
    limits.io_timeout = state::milliseconds(settings.read_timeout_ms);
    return limits;
}

/// Owns the threads of a node and the objects that run on them.
class node_process
{
public:
    explicit node_process(const state::process_settings& settings)
        : identity{settings.node_id, make_incarnation(), settings.zone, settings.listen,
                   settings.peer_listen},
          events(identity.id, identity.incarnation,
                 static_cast<std::size_t>(settings.timeline_events)),
          control(control_thread.executor(), timers, counters),
          platform(platform_thread.context(), settings.platform, control.mailbox(),
                   counters),
          poller(fleet_thread.context(), control.mailbox(), counters),
          peers(
              peer_thread.context(),
              [this](transport::peer_delivery delivery)
              // If the mailbox is full it counts and drops the message; peers send
              // heartbeats periodically.
              { this->control.mailbox().try_push(received_event(std::move(delivery))); },
              counters),
          node_settings(identity, control, platform, events, counters),
          fleet(identity, control, poller, events),
          membership(this->listen_for_peers(settings.peer_advertise), control,
                     node_settings, peers, events, random_seed()),
          claims(identity, control, platform, timers, control_thread.executor(),
                 process_wall_s, events, counters),
          dispatcher(fleet_thread.context(), control.mailbox(), counters),
          peer_status(membership.members()),
          placement(identity, peer_status, platform, dispatcher, demand, events,
                    counters),
          client(serving_thread.executor()),
          completions(settings.node_id, control.views(), client,
                      serving_thread.executor(), timers, demand, counters),
          services(identity, control.views(), client, control.mailbox(), claims,
                   counters),
          admin(identity, control.views(), control.mailbox(), node_settings, events),
          api(identity, control.views(), completions, services, admin, counters),
          server(serving_thread.context(), server_limits(settings), api, counters),
          lifecycle(control, membership, server, serving_thread.context(), events,
                    [this] { this->signal_loop.stop(); })
    {
        this->control.add(this->node_settings);
        this->control.add(this->fleet);
        this->control.add(this->membership);
        this->control.add(this->claims);
        this->control.add(this->placement);
        this->control.add(this->lifecycle);
        this->membership.set_seeds(settings.seed_peers);
        this->node_settings.set_rank_source(
            [this] { return this->membership.members().rank("settings"); });
        this->identity.address = this->server.listen(settings.listen);
    }

    void run()
    {
        this->node_settings.start();
        this->claims.start();
        this->placement.start();
        this->platform.poll_instances(list_poll_period);
        this->control.start();
        this->events.record("node_started", {{"address", this->identity.address},
                                             {"zone", this->identity.zone}});
        // Scripts that let the kernel choose the ports read them from these lines.
        std::cout << "peer_address " << this->identity.peer_address << "\n";
        std::cout << "listening " << this->identity.address << std::endl;
        for (transport::event_loop_thread* thread : this->threads())
            thread->start();
        this->wait_for_signal();
        this->events.record("node_stopping", {});
        for (transport::event_loop_thread* thread : this->threads())
            thread->stop();
    }

private:
    std::array<transport::event_loop_thread*, 5> threads()
    {
        return {&this->serving_thread, &this->fleet_thread, &this->platform_thread,
                &this->peer_thread, &this->control_thread};
    }

    void wait_for_signal()
    {
        this->wait_for_next_signal();
        this->signal_loop.run();
    }

    void wait_for_next_signal()
    {
        this->signals.async_wait(
            [this](boost::system::error_code failure, int)
            {
                if (failure)
                    return;
                control_event stop =
                    control_task{[this] { this->lifecycle.request_stop(); }};
                // If the mailbox is full the control thread cannot perform a planned
                // stop, so the process ends at once.
                if (!this->control.mailbox().try_push(std::move(stop)))
                    this->signal_loop.stop();
                this->wait_for_next_signal();
            });
    }

    const node_identity& listen_for_peers(const std::string& advertise)
    {
        this->identity.peer_address = this->peers.listen(this->identity.peer_address);
        if (!advertise.empty())
            this->identity.peer_address = advertise;
        return this->identity;
    }

    node_identity identity;
    boost::asio::io_context signal_loop;
    boost::asio::signal_set signals{signal_loop, SIGTERM, SIGINT};
    state::counter_registry counters;
    state::event_log events;
    transport::thread_timer_service timers;
    transport::event_loop_thread control_thread{"control"};
    transport::event_loop_thread platform_thread{"platform"};
    transport::event_loop_thread fleet_thread{"fleet"};
    transport::event_loop_thread peer_thread{"peer"};
    transport::event_loop_thread serving_thread{"serving"};
    control_loop control;
    platform_client platform;
    engine_poller poller;
    transport::peer_network peers;
    settings_component node_settings;
    fleet_component fleet;
    membership_component membership;
    claims_component claims;
    order_dispatcher dispatcher;
    demand_tracker demand;
    membership_peer_status peer_status;
    placement_component placement;
    transport::http_client client;
    completion_proxy completions;
    service_proxy services;
    admin_api admin;
    caller_api api;
    transport::http_server server;
    lifecycle_component lifecycle;
};

} // namespace

int run_node(const state::process_settings& settings)
{
    state::init_logging(settings.node_id, settings.minimum_log_level);
    node_process process(settings);
    process.run();
    return 0;
}

} // namespace pomelorouter::app
