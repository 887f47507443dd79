#pragma once

#include "app/gateway/serving/gateway_state.hpp"
#include "app/gateway/store/document_reader.hpp"
#include "app/gateway/store/keyed_store.hpp"
#include "state/clock.hpp"
#include "transport/http_client.hpp"

#include <functional>
#include <optional>
#include <string>

namespace pomelorouter::app
{

/// Applies the operator's configuration. Reads it from the store, or fetches it from
/// another gateway that announces a newer version.
class config_watcher
{
public:
    using config_callback = std::function<void(state::gateway_config_ptr)>;

    /// Whether another gateway reads the store on behalf of this one.
    using follower_callback = std::function<bool()>;

    config_watcher(gateway_state& gateway, keyed_store& platform_store,
                   transport::http_client& client, const document_reader& documents,
                   config_callback on_config, follower_callback follows_aggregator);

    void start();
    /// Fetches a newer configuration in the background. `peer` is the control address of
    /// a gateway that has `announced_version`.
    void on_newer(std::string peer, std::int64_t announced_version);
    /// Whether a gateway recently announced a newer configuration than the one in force.
    bool is_newer_announced() const;
    /// Reads the newest configuration again, since the store has returned from an older
    /// copy.
    void on_store_returned() { this->position.reset(); }
    /// Reads the newest configuration, since the store at another address is used.
    void on_store_moved();
    /// The newest configuration document, unchanged; empty if none is known.
    const std::string& config_document() const { return this->document; }
    std::int64_t config_version() const { return this->version; }
    /// Whether a recent call reached the store.
    bool is_current() const;

private:
    boost::asio::awaitable<void> watch();
    boost::asio::awaitable<bool> read_store();
    boost::asio::awaitable<void> fetch_newer(std::string peer);
    boost::asio::awaitable<void> fetch_from_peer(std::string peer);
    void apply(const std::string& text, std::string_view source);
    void on_contact(bool is_reachable, const std::string& problem);

    gateway_state& shared;
    keyed_store& store;
    transport::http_client& client;
    const document_reader& reader;
    config_callback config_changed;
    follower_callback follows_aggregator;
    std::optional<std::uint64_t> position;
    std::string document;
    std::int64_t version = -1;
    bool reachable = true;
    state::time_point last_contact{};
    bool is_fetching = false;
    /// Newest version that another gateway announced, and when it last did so.
    std::int64_t announced = -1;
    state::time_point last_announced{};
    /// When a heartbeat first named a version newer than the one in force.
    std::optional<state::time_point> newer_heard;
};

} // namespace pomelorouter::app
