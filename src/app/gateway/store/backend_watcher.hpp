#pragma once

#include "app/gateway/serving/gateway_state.hpp"
#include "app/gateway/store/document_reader.hpp"
#include "app/gateway/store/keyed_store.hpp"
#include "coordination/backend_feed.hpp"
#include "coordination/store_contact.hpp"
#include "transport/async_event.hpp"
#include "transport/http_client.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::app
{

/// Up to where another gateway has the list.
struct feed_position
{
    /// Offset to read from next; empty for the complete list.
    std::optional<std::uint64_t> from;
    /// Era and identity of the store that gave the offset out; the identity is 0 if the
    /// gateway is of an earlier version.
    std::uint64_t era = 0;
    std::uint64_t store = 0;
};

/// Keeps the directory up to date with the list of backend servers. Reads it from the
/// store, or from the aggregator of the availability zone, which reads the store for all
/// gateways of the zone.
class backend_watcher
{
public:
    /// Returns the control address of the aggregator; empty if this gateway is the
    /// aggregator or none is known.
    using aggregator_callback = std::function<std::string()>;
    /// Whether the configuration was read from the store recently.
    using reachability_callback = std::function<bool()>;
    /// Whether the gateway should still wait for its aggregator after the start.
    using aggregator_wait_callback = std::function<bool()>;

    backend_watcher(gateway_state& gateway, keyed_store& platform_store,
                    transport::http_client& client, const document_reader& documents,
                    aggregator_callback find_aggregator,
                    reachability_callback check_settings_reachable,
                    aggregator_wait_callback must_wait);

    void start();
    /// Removes the backend servers that have not returned in time.
    void tick();
    /// Reads the complete list again, since the store has returned from an older copy.
    void on_store_returned();
    /// Reads the complete list, since the store at another address is used.
    void on_store_moved();
    /// Whether the list was read at least once.
    bool is_known() const { return this->shared.is_backend_list_known; }
    /// Whether this gateway receives changes from an aggregator that reaches the store.
    bool follows_aggregator() const;
    /// How long this gateway's own reads of the store have succeeded without
    /// interruption; empty if it reads through an aggregator or the last read failed.
    std::optional<state::milliseconds> store_contact() const;
    /// Returns an encoded page with the records from a position on. Waits for new records
    /// up to a time limit.
    boost::asio::awaitable<std::string> wait_for_page(feed_position position);

private:
    boost::asio::awaitable<void> watch();
    boost::asio::awaitable<bool> read_aggregator(std::string address);
    boost::asio::awaitable<bool> read_store();
    void on_store_response();
    coordination::feed_record parse(const keyed_record& record) const;
    void apply(const std::vector<coordination::feed_record>& records);
    void apply_all(std::uint64_t next,
                   const std::vector<coordination::feed_record>& records);
    void on_read(std::string_view source);
    void on_contact(bool is_reachable, const std::string& problem);

    gateway_state& shared;
    keyed_store& store;
    transport::http_client& client;
    const document_reader& reader;
    aggregator_callback aggregator;
    reachability_callback settings_reachable;
    aggregator_wait_callback awaits_aggregator;
    coordination::backend_feed feed;
    transport::async_event feed_read;
    coordination::store_contact own_contact;
    bool reachable = true;
    /// The next complete list is the first one since the store's return.
    bool is_list_restored = false;
    state::time_point last_read{};
    state::time_point follows_until{};
    /// No request is sent to the aggregator before this time.
    state::time_point next_aggregator_read{};
};

} // namespace pomelorouter::app
