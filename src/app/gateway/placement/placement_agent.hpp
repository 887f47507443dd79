#pragma once

#include "app/gateway/peers/peer_gossip.hpp"
#include "app/gateway/placement/engine_protocol.hpp"
#include "app/gateway/placement/placement_log.hpp"
#include "app/gateway/placement/size_tracker.hpp"
#include "app/gateway/serving/gateway_state.hpp"
#include "app/gateway/store/keyed_store.hpp"
#include "coordination/load_rate_limiter.hpp"
#include "coordination/store_lease.hpp"
#include "coordination/task_pacer.hpp"
#include "coordination/weight_planner.hpp"
#include "protocol/gateway_heartbeat.hpp"
#include "transport/http_client.hpp"

#include <map>
#include <optional>
#include <string>

namespace pomelorouter::app
{

/// Claims the placement lease if no other gateway holds it. The holder orders the engines
/// to load and unload models and adapters.
class placement_agent
{
public:
    placement_agent(gateway_state& gateway, keyed_store& platform_store,
                    transport::http_client& client,
                    const engine_protocol& platform_protocol, peer_gossip& gateway_peers);

    void start();
    /// Adds the lease and the announced models of engines to a heartbeat.
    void fill(protocol::gateway_heartbeat& heartbeat);
    void on_heartbeat(const protocol::gateway_heartbeat& heartbeat);
    /// Begins a new era of the store.
    void on_store_era();
    /// Claims the lease anew, in the store at another address.
    void on_store_moved();
    /// Applies changed settings of the lease.
    void on_settings_changed();

private:
    /// State of one engine process as the lease holder knows it.
    struct engine_control
    {
        std::int64_t incarnation = 0;
        /// `sequence` and `models` were read from the engine, and every order since was
        /// answered.
        bool is_known = false;
        bool has_order = false;
        std::int64_t sequence = 0;
        std::vector<state::loaded_model> models;
        std::string loading;
        /// A model that the engine unloads once its last stream has ended. Until then the
        /// engine still lists the model but refuses new requests for it.
        std::string unloading;
        /// A model for which memory is being freed, and when that reservation expires.
        std::string reserved;
        state::time_point reserved_until{};
        /// The same for an adapter, as MODEL/ADAPTER, and its slot.
        std::string reserved_adapter;
        state::time_point adapter_reserved_until{};
        /// No order is sent before this time.
        state::time_point pause_until{};
        /// Heartbeats repeat the models of the engine until this time.
        state::time_point announce_until{};
    };

    boost::asio::awaitable<void> lease_loop();
    /// Processes the lease of a gateway that uses another store.
    void on_foreign_lease(const protocol::lease_view& heard);
    /// Whether this gateway should read the lease topic now.
    bool is_turn_to_read() const;
    boost::asio::awaitable<void> read_lease();
    boost::asio::awaitable<void> append_lease(coordination::lease_append append);
    boost::asio::awaitable<void> plan_loop();
    void plan();
    void plan_service(const state::gateway_service& service);
    bool is_engine_list_stable() const;
    /// Records when engines were added. Runs on every gateway, since any may become the
    /// lease holder.
    void track_engine_count();
    /// Requests reports from the engines whose state is unknown, and removes models that
    /// are being unloaded from the directory again.
    void refresh_engines(const state::gateway_service& service);
    std::vector<coordination::planned_engine>
    planned_engines(const state::gateway_service& service);
    engine_control& control_of(const state::backend_entry& entry);
    void start_order(const coordination::planned_order& order,
                     const state::hosted_model& model);

    boost::asio::awaitable<void> execute_order(state::backend_entry entry,
                                               coordination::planned_order order,
                                               state::hosted_model model);
    boost::asio::awaitable<bool> read_report(const state::backend_entry& entry);
    /// Requests a report from an engine whose state is unknown.
    boost::asio::awaitable<void> query_engine(state::backend_entry entry);
    boost::asio::awaitable<std::optional<order_response>>
    send_order(const state::backend_entry& entry,
               const coordination::planned_order& order);
    boost::asio::awaitable<void> wait_for_model(const state::backend_entry& entry,
                                                const state::hosted_model& model,
                                                state::milliseconds expected);
    void announce(const std::string& engine);

    gateway_state& shared;
    keyed_store& store;
    transport::http_client& client;
    const engine_protocol& engine_messages;
    peer_gossip& peers;
    size_tracker sizes;
    coordination::store_lease lease;
    coordination::weight_planner planner;
    coordination::load_rate_limiter load_limiter;
    std::map<std::string, engine_control, std::less<>> engines;
    /// Copies of each model when the list of engines was first stable, by service.
    std::map<std::string, std::map<std::string, int>, std::less<>> initial_copies;
    state::time_point last_state_log{};
    coordination::task_pacer plan_pacer;
    plan_statistics statistics;
    state::counter& plan_count;
    state::counter& plan_us;
    state::time_point started{};
    state::time_point era_begun{};
    /// Another gateway holds the lease in another store, as far as known, until then.
    state::time_point held_elsewhere_until{};
    /// The last announcement of the lease holder, which an aggregator forwards to its
    /// zone.
    std::vector<protocol::engine_weights> forwarded_weights;
    state::time_point forwarded_until{};
    std::size_t known_engines = 0;
    state::time_point engines_changed{};
    /// Incremented whenever the lease is taken or lost. Orders and reports started in an
    /// earlier term are discarded.
    std::uint64_t term = 0;
    bool was_holder = false;
    bool had_waiting = false;
};

} // namespace pomelorouter::app
