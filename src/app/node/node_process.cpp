#include "app/node/node_process.hpp"

#include "app/node/admin_api.hpp"
#include "app/node/caller_api.hpp"
#include "app/node/completion_proxy.hpp"
#include "app/node/control_loop.hpp"
#include "app/node/demand_tracker.hpp"
#include "app/node/engine_poller.hpp"
#include "app/node/fleet_component.hpp"
#include "app/node/listed_peers.hpp"
#include "app/node/node_list_component.hpp"
#include "app/node/order_dispatcher.hpp"
#include "app/node/placement_component.hpp"
#include "app/node/platform_client.hpp"
#include "app/node/service_proxy.hpp"
#include "app/node/settings_component.hpp"
#include "state/counters.hpp"
#include "state/event_log.hpp"
#include "state/log.hpp"
#include "transport/duty_thread.hpp"
#include "transport/http_server.hpp"
#include "transport/thread_timer_service.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <random>
#include <string>

namespace pomelorouter::app
{

namespace
{

constexpr state::milliseconds list_poll_period{1000};

std::uint64_t random_incarnation()
{
    // Fits a signed 64-bit number, which is what peers and JSON readers can carry.
    std::random_device device;
    return ((static_cast<std::uint64_t>(device()) << 32U) | device()) >> 1U;
}

transport::http_server_limits server_limits(const state::process_settings& settings)
{
    transport::http_server_limits limits;
    limits.max_connections = static_cast<std::size_t>(settings.max_connections);
    limits.max_body_bytes = static_cast<std::size_t>(settings.max_body_bytes);
    limits.io_timeout = state::milliseconds(settings.read_timeout_ms);
    return limits;
}

/// The threads of a node and what runs on each.
class node_process
{
public:
    explicit node_process(const state::process_settings& settings)
        : identity{settings.node_id, random_incarnation(), settings.zone, settings.listen,
                   settings.peer_listen},
          events(identity.id, identity.incarnation,
                 static_cast<std::size_t>(settings.timeline_events)),
          control(control_thread.executor(), timers, counters),
          platform(platform_thread.context(), settings.platform, control.mailbox(),
                   counters),
          poller(fleet_thread.context(), control.mailbox(), counters),
          settings_part(identity, control, platform, events, counters),
          fleet_part(identity, control, poller, events),
          nodes_part(identity, control),
          dispatcher(fleet_thread.context(), control.mailbox(), counters),
          peers(identity),
          placement_part(identity, peers, platform, dispatcher, demand, events, counters),
          client(serving_thread.executor()),
          completions(settings.node_id, control.views(), client,
                      serving_thread.executor(), timers, counters),
          services(control.views(), client, counters),
          admin(identity, control.views(), control.mailbox(), settings_part, events),
          api(control.views(), completions, services, admin, counters),
          server(serving_thread.context(), server_limits(settings), api, counters)
    {
        this->control.add(this->settings_part);
        this->control.add(this->fleet_part);
        this->control.add(this->nodes_part);
        this->control.add(this->peers);
        this->control.add(this->placement_part);
        this->identity.address = this->server.listen(settings.listen);
    }

    void run()
    {
        this->settings_part.start();
        this->placement_part.start();
        this->platform.poll_instances(list_poll_period);
        this->control.start();
        this->events.record("node_started", {{"address", this->identity.address},
                                             {"zone", this->identity.zone}});
        // Scripts that let the kernel choose the port read it from this line.
        std::cout << "listening " << this->identity.address << std::endl;
        for (transport::duty_thread* thread : this->threads())
            thread->start();
        this->wait_for_signal();
        this->events.record("node_stopping", {});
        for (transport::duty_thread* thread : this->threads())
            thread->stop();
    }

private:
    std::array<transport::duty_thread*, 4> threads()
    {
        return {&this->serving_thread, &this->fleet_thread, &this->platform_thread,
                &this->control_thread};
    }

    void wait_for_signal()
    {
        boost::asio::io_context loop;
        boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
        signals.async_wait([](boost::system::error_code, int) {});
        loop.run();
    }

    node_identity identity;
    state::counter_registry counters;
    state::event_log events;
    transport::thread_timer_service timers;
    transport::duty_thread control_thread{"control"};
    transport::duty_thread platform_thread{"platform"};
    transport::duty_thread fleet_thread{"fleet"};
    transport::duty_thread serving_thread{"serving"};
    control_loop control;
    platform_client platform;
    engine_poller poller;
    settings_component settings_part;
    fleet_component fleet_part;
    node_list_component nodes_part;
    order_dispatcher dispatcher;
    demand_tracker demand;
    listed_peers peers;
    placement_component placement_part;
    transport::http_client client;
    completion_proxy completions;
    service_proxy services;
    admin_api admin;
    caller_api api;
    transport::http_server server;
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
