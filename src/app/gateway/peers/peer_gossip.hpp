#pragma once

#include "app/gateway/peers/load_exchange.hpp"
#include "app/gateway/serving/directory_handler.hpp"
#include "app/gateway/serving/gateway_state.hpp"
#include "app/gateway/store/keyed_store.hpp"
#include "coordination/gateway_members.hpp"
#include "coordination/gossip_plan.hpp"
#include "coordination/member_notice_queue.hpp"
#include "protocol/gateway_heartbeat.hpp"
#include "protocol/stream_origin_notice.hpp"
#include "transport/datagram_socket.hpp"
#include "transport/http_client.hpp"

#include <functional>
#include <string>
#include <vector>

namespace pomelorouter::app
{

/// Exchanges heartbeats with the other gateways. Discovers them through the store, or
/// through the seed addresses while the store does not respond.
class peer_gossip
{
public:
    /// Adds the data of other components to the heartbeat before it is sent to all
    /// targets.
    using fill_callback = std::function<void(protocol::gateway_heartbeat&)>;
    using heartbeat_callback = std::function<void(const protocol::gateway_heartbeat&)>;

    peer_gossip(gateway_state& gateway, keyed_store& platform_store,
                transport::http_client& client, protocol::gateway_member self);

    /// Binds the socket and starts to send and receive.
    void start(fill_callback fill, heartbeat_callback on_heartbeat);
    /// Announces this gateway again, since the store has returned from an older copy that
    /// may lack it.
    void on_store_returned();
    void set_ready(bool ready) { this->self.ready = ready; }
    /// Sets the bound addresses, which heartbeats announce.
    void set_addresses(std::string frontend, std::string control);
    /// Sends a heartbeat without loads to all gateways, at once or with the next tick if
    /// one was sent a moment ago. For changes that cannot wait for the regular period.
    void send_heartbeat();
    /// Sends the models that engines hold to the aggregators or, from an aggregator, to
    /// its own zone.
    void send_weights();
    /// Sends the origins of streams to one gateway.
    void send_origins(const std::string& node,
                      const std::vector<protocol::stream_origin>& origins);
    /// `callback` is called with the origins of streams that other gateways send.
    void set_origin_callback(
        std::function<void(const std::vector<protocol::stream_origin>&)> callback)
    {
        this->origins_received = std::move(callback);
    }
    /// Sends the demand at once to the gateways that collect it, for requests that wait
    /// for weights.
    void send_demand();

    /// Returns the gateways that accept callers' requests, including this one if it is
    /// ready.
    std::vector<gateway_address> ready_addresses() const;
    /// Ids of the ready gateways, this one included if it is ready, as of the last tick.
    std::vector<std::string> ready_nodes() const;
    const coordination::gateway_members& members() const { return this->table; }
    const protocol::gateway_member& own() const { return this->self; }
    /// Control address of the aggregator of this zone; empty if this gateway is the
    /// aggregator or none is known.
    std::string aggregator_control() const;
    /// Position of this gateway among the live ones in descending order of strength.
    std::size_t rank() const;
    /// Whether this gateway was started recently in a large fleet and expects to receive
    /// soon from its aggregator what it would otherwise have to read from the store.
    /// False once it hears the aggregator. Until it has read the members, it assumes that
    /// the fleet is large and that another gateway becomes the aggregator.
    bool awaits_aggregator() const;
    /// Whether this gateway aggregates and forwards the reports of its zone.
    bool is_aggregator() const { return this->plan.is_aggregator(); }
    /// Returns this gateway and all known ones as JSON, for gateways that discover
    /// members.
    std::string members_json() const;

private:
    boost::asio::awaitable<void> heartbeat_loop();
    void update_plan();
    /// Passes on which gateways are known and what they use of the allowances of teams.
    void update_allowances();
    /// Collects the member notices that an aggregator sends during one period.
    void update_notices(state::milliseconds period);
    void send(const std::vector<coordination::gossip_target>& targets);
    void fill_members(protocol::gateway_heartbeat& heartbeat) const;
    void send_urgent();
    protocol::gateway_heartbeat next_heartbeat();
    boost::asio::awaitable<void> discovery_loop();
    boost::asio::awaitable<bool> read_members();
    boost::asio::awaitable<bool> announce();
    boost::asio::awaitable<void> announce_again();
    boost::asio::awaitable<void> ask_seeds();
    void on_datagram(std::string_view datagram);
    void add_member(const std::string& document);

    gateway_state& shared;
    keyed_store& store;
    transport::http_client& client;
    protocol::gateway_member self;
    coordination::gateway_members table;
    coordination::gossip_plan plan;
    std::vector<std::string> ready_peers;
    /// Member notices that an aggregator sends to its own zone, and to the aggregators of
    /// the other zones.
    coordination::member_notice_queue own_zone_news;
    coordination::member_notice_queue remote_zone_news;
    std::vector<protocol::member_notice> own_zone_notices;
    std::vector<protocol::member_notice> remote_zone_notices;
    load_exchange exchange;
    transport::datagram_socket socket;
    fill_callback fill_heartbeat;
    heartbeat_callback heartbeat_received;
    std::function<void(const std::vector<protocol::stream_origin>&)> origins_received =
        [](const std::vector<protocol::stream_origin>&) {};
    std::uint64_t counter = 0;
    std::uint64_t ticks = 0;
    std::string lease_holder;
    state::time_point urgent_sent{};
    state::time_point weights_sent{};
    /// A send that the rate limit delayed is due with the next tick.
    bool urgent_pending = false;
    bool weights_pending = false;
    bool was_aggregator = false;
    bool announced = false;
    bool members_read = false;
    state::time_point started{};
};

} // namespace pomelorouter::app
