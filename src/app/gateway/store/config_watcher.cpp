#include "app/gateway/store/config_watcher.hpp"

#include "state/error.hpp"
#include "state/log.hpp"
#include "transport/background_task.hpp"
#include "transport/http_error.hpp"
#include "transport/log_service.hpp"
#include "transport/pause.hpp"

#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using state::milliseconds;

namespace
{

/// Longest wait of a settings read for a change. Short enough to detect a dead connection
/// well within the time in which a change must be in force.
constexpr milliseconds settings_wait{1500};
/// The configuration counts as current for this long after a read of the store.
constexpr milliseconds read_validity{3000};
/// Delay after a failed read, and between two checks whether another gateway still
/// watches the store.
constexpr milliseconds retry_delay{250};
/// Delay before a gateway that watches the store fetches a newer configuration from a
/// peer. The store usually delivers it earlier.
constexpr milliseconds peer_fetch_delay{150};
/// Maximum duration of a fetch from a peer. The store is read after it.
constexpr milliseconds peer_timeout{1000};
/// An announced version counts as available for this long after the last heartbeat with
/// it. Gateways that have it repeat it several times a second.
constexpr milliseconds announcement_validity{5000};
/// A configuration is one record of the store, which is smaller.
constexpr std::size_t max_config_bytes = 1024 * 1024;

} // namespace

config_watcher::config_watcher(gateway_state& gateway, keyed_store& platform_store,
                               transport::http_client& http_client,
                               const document_reader& documents,
                               config_callback on_config, follower_callback is_follower)
    : shared(gateway),
      store(platform_store),
      client(http_client),
      reader(documents),
      config_changed(std::move(on_config)),
      follows_aggregator(std::move(is_follower))
{
}

void config_watcher::start()
{
    transport::spawn_restarting(this->shared.executor, "config_watcher",
                                [this] { return this->watch(); });
}

asio::awaitable<void> config_watcher::watch()
{
    for (;;)
    {
        bool succeeded = false;
        if (!this->follows_aggregator())
            succeeded = co_await this->read_store();
        if (!succeeded)
            co_await transport::pause(this->shared.executor, retry_delay);
    }
}

asio::awaitable<bool> config_watcher::read_store()
{
    try
    {
        keyed_page page;
        if (this->position)
        {
            page = co_await this->store.changes(store_topic::settings, *this->position,
                                                settings_wait);
        }
        else
            page = co_await this->store.newest(store_topic::settings);
        this->position = page.next;
        this->on_contact(true, "");
        for (const keyed_record& record : page.records)
        {
            if (!record.is_removal && this->reader.is_config_key(record.key))
                this->apply(record.value, "store");
        }
        // Without any configuration yet, a read of all keys returns at once, so the
        // caller must delay the next one.
        co_return !page.records.empty() || this->version >= 0;
    }
    catch (const transport::log_truncated&)
    {
        this->position.reset();
        co_return true;
    }
    catch (const store_changed&)
    {
        this->position.reset();
        co_return true;
    }
    catch (const state::error& failure)
    {
        this->on_contact(false, failure.what());
        co_return false;
    }
}

bool config_watcher::is_newer_announced() const
{
    return this->announced > this->version &&
           state::since(this->last_announced) < announcement_validity;
}

void config_watcher::on_newer(std::string peer, std::int64_t announced_version)
{
    if (announced_version >= this->announced)
    {
        this->announced = announced_version;
        this->last_announced = state::now();
    }
    if (!this->newer_heard)
        this->newer_heard = state::now();
    if (this->is_fetching)
        return;
    this->is_fetching = true;
    state::log_event(state::log_level::info, "newer_config_heard")
        .field("peer", peer)
        .field("announced", announced_version)
        .field("version", this->version)
        .field("led", this->follows_aggregator());
    transport::spawn_task(this->shared.executor, "fetch_newer",
                          this->fetch_newer(std::move(peer)));
}

/// A gateway that watches the store usually receives the change from there. One that
/// follows an aggregator fetches it from the peer: otherwise each change would cost the
/// store one call for every gateway.
asio::awaitable<void> config_watcher::fetch_newer(std::string peer)
{
    const std::int64_t before = this->version;
    if (!this->follows_aggregator())
        co_await transport::pause(this->shared.executor, peer_fetch_delay);
    if (this->version == before)
        co_await this->fetch_from_peer(std::move(peer));
    if (this->version == before)
    {
        this->position.reset();
        co_await this->read_store();
    }
    this->is_fetching = false;
}

asio::awaitable<void> config_watcher::fetch_from_peer(std::string peer)
{
    transport::http_call_options options;
    options.progress_timeout = peer_timeout;
    options.total_timeout = peer_timeout;
    options.max_body_bytes = max_config_bytes;
    try
    {
        const transport::http_response response = co_await this->client.fetch(
            peer, transport::make_request(transport::verb::get, "/gateway/config"),
            options);
        if (response.result() == transport::status::ok)
            this->apply(response.body(), "peer");
    }
    catch (const state::error& failure)
    {
        state::log_event(state::log_level::info, "peer_config_failed")
            .field("peer", peer)
            .field("problem", failure.what());
    }
}

void config_watcher::apply(const std::string& text, std::string_view source)
{
    try
    {
        auto config =
            std::make_shared<const state::gateway_config>(this->reader.read_config(text));
        // An older version never replaces one that was in force.
        if (config->version <= this->version)
            return;
        this->version = config->version;
        this->document = text;
        this->shared.routes = std::make_shared<const coordination::route_table>(config);
        state::log_event(state::log_level::info, "config_applied")
            .field("version", config->version)
            .field("source", source)
            .field("routes", static_cast<std::uint64_t>(config->routes.size()))
            .field("services", static_cast<std::uint64_t>(config->services.size()))
            .field("teams", static_cast<std::uint64_t>(config->teams.size()))
            .field("bytes", static_cast<std::uint64_t>(text.size()))
            .field("heard_ms",
                   this->newer_heard ? state::since(*this->newer_heard).count() : 0);
        this->newer_heard.reset();
        this->config_changed(std::move(config));
    }
    catch (const state::error& failure)
    {
        state::log_event(state::log_level::error, "config_unreadable")
            .field("source", source)
            .field("kept_version", this->version)
            .field("problem", failure.what());
    }
}

void config_watcher::on_store_moved()
{
    this->position.reset();
    // What the earlier store answered does not vouch for the new one.
    this->last_contact = {};
}

bool config_watcher::is_current() const
{
    return this->reachable && state::since(this->last_contact) < read_validity;
}

void config_watcher::on_contact(bool is_reachable, const std::string& problem)
{
    if (is_reachable)
        this->last_contact = state::now();
    if (this->reachable == is_reachable)
        return;
    this->reachable = is_reachable;
    state::log_event(state::log_level::warning,
                     is_reachable ? "store_regained" : "store_lost")
        .field("topic", "settings")
        .field("problem", problem);
}

} // namespace pomelorouter::app
