#pragma once

#include "app/gateway/peers/peer_gossip.hpp"
#include "app/gateway/peers/permit_exchange.hpp"
#include "app/gateway/peers/stream_origin_exchange.hpp"
#include "app/gateway/placement/placement_agent.hpp"
#include "app/gateway/process/control_handler.hpp"
#include "app/gateway/process/engine_speed_report.hpp"
#include "app/gateway/process/platform_adapter.hpp"
#include "app/gateway/process/settings_watch.hpp"
#include "app/gateway/serving/crash_detector.hpp"
#include "app/gateway/serving/directory_handler.hpp"
#include "app/gateway/serving/gateway_state.hpp"
#include "app/gateway/serving/request_relay.hpp"
#include "app/gateway/store/backend_watcher.hpp"
#include "app/gateway/store/config_watcher.hpp"
#include "app/gateway/store/quarantine_store.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace pomelorouter::app
{

/// One gateway process: owns all its components and runs them on one event loop.
class gateway
{
public:
    gateway(boost::asio::io_context& event_loop,
            const state::gateway_settings& process_settings, std::string settings_path,
            const platform_adapter& platform, state::counter_registry& counters);

    /// Binds the addresses and starts all loops. Throws `state::error`.
    void start();
    /// Begins a planned stop. Calls `on_stopped` when all requests have ended or the
    /// grace period is over. Further calls have no effect.
    void stop(std::function<void()> on_stopped);
    /// Reads the settings file again.
    void reload() { this->settings_file.reload(); }
    bool is_ready() const;
    state::gateway_settings own_settings() const { return *this->shared.settings; }
    const gateway_state& shared_state() const { return this->shared; }

private:
    void fill(protocol::gateway_heartbeat& heartbeat);
    void on_heartbeat(const protocol::gateway_heartbeat& heartbeat);
    void on_config(const state::gateway_config& newest);
    /// Applies what the components keep of the settings.
    void on_settings_changed(const state::gateway_settings& before);
    void move_store(const std::string& from, const std::string& to);
    /// Begins a new era of the store; `before` is 0 if none was known.
    void on_store_era(std::uint64_t before);
    void on_store_contact(const protocol::gateway_heartbeat& heartbeat);
    /// Applies limits of backend servers that another gateway reports. Returns whether
    /// any has changed.
    bool merge_limits(const protocol::gateway_heartbeat& heartbeat);
    void on_crash(const coordination::backend_crash& crash);
    /// Applies the decisions about prompt parts that crash backend servers, and saves
    /// them if this gateway does so for the others.
    /// Compares the loads of the availability zones.
    void update_zone_balance();
    void update_quarantine(bool may_save = true);
    void update_team_metrics();
    /// Drops limits and learned speeds of processes that have ended.
    void forget_ended_processes();
    /// Restores the saved quarantines after the store has returned from an older copy.
    void save_quarantines_again();
    boost::asio::awaitable<void> housekeeping();
    boost::asio::awaitable<void> drain(std::function<void()> on_stopped);

    boost::asio::io_context& loop;
    const platform_adapter& adapter;
    gateway_state shared;
    settings_watch settings_file;
    transport::http_client client;
    std::unique_ptr<keyed_store> store;
    config_watcher config;
    backend_watcher backends;
    peer_gossip peers;
    placement_agent placement;
    permit_exchange permits;
    stream_origin_exchange origins;
    crash_detector crashes;
    quarantine_store saved_quarantines;
    state::counter& quarantined_parts;
    engine_speed_report speed_report;
    request_relay relay;
    directory_handler directory;
    control_handler control;
    transport::http_server frontend_server;
    transport::http_server readiness_server;
    transport::http_server directory_server;
    transport::http_server control_server;
    transport::http_server metrics_server;
};

} // namespace pomelorouter::app
