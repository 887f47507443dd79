#pragma once

#include "app/gateway/serving/gateway_state.hpp"
#include "app/gateway/store/document_reader.hpp"
#include "app/gateway/store/keyed_store.hpp"

#include <functional>
#include <optional>
#include <string>

namespace pomelorouter::app
{

/// Follows the operator's configuration and the list of backend servers in the store.
class store_watcher
{
public:
    using config_callback = std::function<void(state::gateway_config_ptr)>;

    store_watcher(gateway_state& gateway, keyed_store& platform_store,
                  const document_reader& documents, config_callback on_config);

    /// Starts both loops on the event loop; they run until it stops.
    void start();
    /// A peer has a configuration in the form in which the operator wrote it.
    void on_peer_config(const std::string& document);
    /// The newest configuration as the operator wrote it; empty if none is known.
    const std::string& config_document() const { return this->document; }
    std::int64_t config_version() const { return this->version; }
    /// Whether the list of backend servers was read once.
    bool has_backends() const { return this->backends_known; }

private:
    boost::asio::awaitable<void> watch_settings();
    boost::asio::awaitable<void> watch_backends();
    boost::asio::awaitable<bool> read_settings();
    boost::asio::awaitable<bool> read_backends();
    void apply_config(const std::string& text, std::string_view source);
    void apply_backend(const keyed_record& record);
    void apply_all_backends(const keyed_page& page);
    void on_contact(bool& reachable, bool is_reachable, std::string_view topic,
                    const std::string& problem);
    boost::asio::awaitable<void> pause(state::milliseconds duration);

    gateway_state& shared;
    keyed_store& store;
    const document_reader& reader;
    config_callback config_changed;
    std::optional<std::uint64_t> settings_position;
    std::optional<std::uint64_t> backends_position;
    std::string document;
    std::int64_t version = -1;
    bool backends_known = false;
    bool settings_reachable = true;
    bool backends_reachable = true;
};

} // namespace pomelorouter::app
