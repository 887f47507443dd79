#pragma once

#include "app/gateway/peers/peer_gossip.hpp"
#include "app/gateway/placement/engine_protocol.hpp"
#include "app/gateway/serving/gateway_state.hpp"
#include "app/gateway/store/keyed_store.hpp"
#include "coordination/load_allowance.hpp"
#include "coordination/store_lease.hpp"
#include "coordination/weight_planner.hpp"
#include "protocol/gateway_heartbeat.hpp"
#include "transport/http_client.hpp"

#include <map>
#include <optional>
#include <string>

namespace pomelorouter::app
{

/// Holds the placement lease if no other gateway does, and then orders the engines to
/// load and unload.
class placement_agent
{
public:
    placement_agent(gateway_state& gateway, keyed_store& platform_store,
                    transport::http_client& client, const engine_protocol& order_words,
                    peer_gossip& gateway_peers);

    void start();
    /// Adds the lease and what engines hold to a heartbeat.
    void fill(protocol::gateway_heartbeat& heartbeat);
    void on_heartbeat(const protocol::gateway_heartbeat& heartbeat);

private:
    /// What the holder knows of one engine process.
    struct engine_control
    {
        std::int64_t incarnation = 0;
        /// Sequence and weights were read from the engine, and no answer is missing.
        bool is_known = false;
        bool has_order = false;
        std::int64_t sequence = 0;
        std::vector<state::loaded_model> models;
        std::string loading;
        /// A model that the engine gives up once its last stream has ended. Until then
        /// the engine still lists it, and refuses new requests for it.
        std::string unloading;
        /// A model for which room is made, and until when the room is kept.
        std::string reserved;
        state::time_point reserved_until{};
        /// Nothing is ordered before then.
        state::time_point pause_until{};
        /// What is announced is repeated until then.
        state::time_point announce_until{};
    };

    boost::asio::awaitable<void> lease_loop();
    boost::asio::awaitable<void> read_lease();
    boost::asio::awaitable<void> append_lease(coordination::lease_append append);
    boost::asio::awaitable<void> plan_loop();
    void plan();
    void plan_service(const state::gateway_service& service);
    bool is_settled() const;
    /// Notices engines that come; whichever gateway becomes the holder has to know.
    void watch_engines();
    /// Asks the engines of which nothing certain is known, and repeats in the directory
    /// what the others are about to give up.
    void refresh_engines(const state::gateway_service& service);
    std::vector<coordination::planned_engine>
    planned_engines(const state::gateway_service& service);
    engine_control& control_of(const state::backend_entry& entry);
    void start_order(const coordination::planned_order& order,
                     const state::hosted_model& model);

    boost::asio::awaitable<void> carry_out(state::backend_entry entry,
                                           coordination::planned_order order,
                                           state::hosted_model model);
    boost::asio::awaitable<bool> read_report(const state::backend_entry& entry);
    /// Asks an engine of which nothing certain is known what it holds.
    boost::asio::awaitable<void> learn(state::backend_entry entry);
    boost::asio::awaitable<std::optional<order_answer>>
    send_order(const state::backend_entry& entry,
               const coordination::planned_order& order);
    boost::asio::awaitable<void> wait_for_model(const state::backend_entry& entry,
                                                const state::hosted_model& model,
                                                state::milliseconds expected);
    void announce(const std::string& engine);

    gateway_state& shared;
    keyed_store& store;
    transport::http_client& client;
    const engine_protocol& dialect;
    peer_gossip& peers;
    coordination::store_lease lease;
    coordination::weight_planner planner;
    coordination::load_allowance loads;
    std::map<std::string, engine_control, std::less<>> engines;
    /// Copies of each model when the engines were first known, for each service.
    std::map<std::string, std::map<std::string, int>, std::less<>> first_copies;
    state::time_point state_logged{};
    state::time_point planned{};
    state::time_point started{};
    /// What the holder announced last, for the own zone if this gateway aggregates it.
    std::vector<protocol::engine_weights> relayed;
    state::time_point relayed_until{};
    std::size_t most_engines = 0;
    state::time_point engines_changed{};
    /// Grows whenever the lease is taken or lost; what was begun before is void then.
    std::uint64_t term = 0;
    bool was_holder = false;
    bool had_waiting = false;
};

} // namespace pomelorouter::app
