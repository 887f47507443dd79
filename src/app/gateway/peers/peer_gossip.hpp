#pragma once

#include "app/gateway/peers/load_exchange.hpp"
#include "app/gateway/serving/directory_handler.hpp"
#include "app/gateway/serving/gateway_state.hpp"
#include "app/gateway/store/keyed_store.hpp"
#include "coordination/gateway_members.hpp"
#include "coordination/gossip_plan.hpp"
#include "coordination/member_news.hpp"
#include "protocol/gateway_heartbeat.hpp"
#include "transport/datagram_socket.hpp"
#include "transport/http_client.hpp"

#include <functional>
#include <string>
#include <vector>

namespace pomelorouter::app
{

/// Exchanges heartbeats with the other gateways, and finds them: in the store, or through
/// the seeds while the store does not answer.
class peer_gossip
{
public:
    /// Adds what other parts have to tell to all heartbeats of a moment.
    using fill_callback = std::function<void(protocol::gateway_heartbeat&)>;
    using heartbeat_callback = std::function<void(const protocol::gateway_heartbeat&)>;

    peer_gossip(gateway_state& gateway, keyed_store& platform_store,
                transport::http_client& client, protocol::gateway_member self);

    /// Binds the socket and starts to send and receive.
    void start(fill_callback fill, heartbeat_callback on_heartbeat);
    void set_ready(bool ready) { this->self.ready = ready; }
    /// The addresses that were bound.
    void set_addresses(std::string frontend, std::string control);
    /// Tells all gateways soon, for a change that should not wait.
    void send_heartbeat();
    /// Tells the aggregators, or the own zone as its aggregator, what engines hold.
    void send_weights();
    /// Tells the demand to whom it has to go, for requests that wait for weights.
    void send_demand();

    /// The gateways that callers may use, this one included if it is ready.
    std::vector<gateway_address> ready_addresses() const;
    const coordination::gateway_members& members() const { return this->table; }
    const protocol::gateway_member& own() const { return this->self; }
    /// Control address of the aggregator of the own zone; empty if this gateway is it.
    std::string aggregator_control() const;
    /// Place of this gateway among those that are alive, the strongest first.
    std::size_t rank() const;
    /// Whether this gateway was started a moment ago in a large fleet and may soon hear
    /// from its aggregator what it would have to read from the store.
    bool is_gathering() const;
    /// Whether this gateway passes on what others say.
    bool is_aggregator() const { return this->plan.is_aggregator(); }
    /// This gateway and all that it knows, as JSON, for a gateway that asks.
    std::string members_json() const;

private:
    boost::asio::awaitable<void> heartbeat_loop();
    void update_plan();
    /// Collects what an aggregator has to say of the other gateways in one period.
    void update_news(state::milliseconds period);
    void send(const std::vector<coordination::gossip_target>& targets);
    void fill_members(protocol::gateway_heartbeat& heartbeat) const;
    void send_urgent();
    protocol::gateway_heartbeat next_heartbeat();
    boost::asio::awaitable<void> discovery_loop();
    boost::asio::awaitable<bool> read_members();
    boost::asio::awaitable<bool> announce();
    boost::asio::awaitable<void> ask_seeds();
    void on_datagram(std::string_view datagram);
    void learn(const std::string& document);

    gateway_state& shared;
    keyed_store& store;
    transport::http_client& client;
    protocol::gateway_member self;
    coordination::gateway_members table;
    coordination::gossip_plan plan;
    /// What this gateway, as an aggregator, says of the members to its own zone, and to
    /// the aggregators of the others.
    coordination::member_news zone_news;
    coordination::member_news far_news;
    std::vector<protocol::member_notice> zone_notices;
    std::vector<protocol::member_notice> far_notices;
    load_exchange exchange;
    transport::datagram_socket socket;
    fill_callback fill_heartbeat;
    heartbeat_callback heartbeat_received;
    std::uint64_t counter = 0;
    std::uint64_t ticks = 0;
    std::string lease_holder;
    state::time_point urgent_sent{};
    state::time_point weights_sent{};
    /// Something that was held back is to be told with the next tick.
    bool urgent_pending = false;
    bool weights_pending = false;
    bool was_aggregator = false;
    bool announced = false;
    bool members_read = false;
    state::time_point started{};
};

} // namespace pomelorouter::app
