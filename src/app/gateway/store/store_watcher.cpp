#include "app/gateway/store/store_watcher.hpp"

#include "state/error.hpp"
#include "state/log.hpp"
#include "transport/log_service.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using state::milliseconds;

namespace
{

/// A read of the settings waits this long for a change, so that a connection that has
/// gone silent is noticed well within the time in which a change must be in force.
constexpr milliseconds settings_wait{1500};
/// Pause between two reads of the list of backend servers. Each of them writes about once
/// a second, so that a read which waits for a record returns at once.
constexpr milliseconds backends_period{800};
/// Pause after a read that failed.
constexpr milliseconds retry_period{250};

state::time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

store_watcher::store_watcher(gateway_state& gateway, keyed_store& platform_store,
                             const document_reader& documents, config_callback on_config)
    : shared(gateway),
      store(platform_store),
      reader(documents),
      config_changed(std::move(on_config))
{
}

void store_watcher::start()
{
    asio::co_spawn(this->shared.executor, this->watch_settings(), asio::detached);
    asio::co_spawn(this->shared.executor, this->watch_backends(), asio::detached);
}

asio::awaitable<void> store_watcher::watch_settings()
{
    for (;;)
    {
        const bool succeeded = co_await this->read_settings();
        if (!succeeded)
            co_await this->pause(retry_period);
    }
}

asio::awaitable<void> store_watcher::watch_backends()
{
    for (;;)
    {
        const bool succeeded = co_await this->read_backends();
        co_await this->pause(succeeded ? backends_period : retry_period);
    }
}

asio::awaitable<bool> store_watcher::read_settings()
{
    try
    {
        keyed_page page;
        if (this->settings_position)
        {
            page = co_await this->store.changes(store_topic::settings,
                                                *this->settings_position, settings_wait);
        }
        else
            page = co_await this->store.newest(store_topic::settings);
        this->settings_position = page.next;
        this->on_contact(this->settings_reachable, true, "settings", "");
        for (const keyed_record& record : page.records)
        {
            if (!record.is_removal && this->reader.is_config_key(record.key))
                this->apply_config(record.value, "store");
        }
        // Before the operator's first configuration a read of everything returns at once.
        co_return !page.records.empty() || this->version >= 0;
    }
    catch (const transport::log_truncated&)
    {
        this->settings_position.reset();
        co_return true;
    }
    catch (const state::error& failure)
    {
        this->on_contact(this->settings_reachable, false, "settings", failure.what());
        co_return false;
    }
}

asio::awaitable<bool> store_watcher::read_backends()
{
    try
    {
        const bool is_whole = !this->backends_position.has_value();
        keyed_page page;
        if (is_whole)
            page = co_await this->store.newest(store_topic::backend_servers);
        else
        {
            page = co_await this->store.changes(
                store_topic::backend_servers, *this->backends_position, milliseconds(0));
        }
        this->backends_position = page.next;
        this->backends_known = true;
        this->on_contact(this->backends_reachable, true, "backend_servers", "");
        this->shared.directory.on_store_contact(now(), true);
        if (is_whole)
            this->apply_all_backends(page);
        else
        {
            for (const keyed_record& record : page.records)
                this->apply_backend(record);
        }
        for (const std::string& id : this->shared.directory.tick(now()))
            state::log_event(state::log_level::info, "backend_gone").field("backend", id);
        if (!page.records.empty())
            this->shared.backends_changed.notify();
        co_return true;
    }
    catch (const transport::log_truncated&)
    {
        this->backends_position.reset();
        co_return true;
    }
    catch (const state::error& failure)
    {
        this->on_contact(this->backends_reachable, false, "backend_servers",
                         failure.what());
        this->shared.directory.on_store_contact(now(), false);
        co_return false;
    }
}

void store_watcher::on_peer_config(const std::string& text)
{
    this->apply_config(text, "peer");
}

void store_watcher::apply_config(const std::string& text, std::string_view source)
{
    try
    {
        auto config =
            std::make_shared<const state::gateway_config>(this->reader.read_config(text));
        // A version that was in force once is never replaced by an older one.
        if (config->version <= this->version)
            return;
        this->version = config->version;
        this->document = text;
        this->shared.routes = std::make_shared<const coordination::route_table>(config);
        state::log_event(state::log_level::info, "config_applied")
            .field("version", config->version)
            .field("source", source)
            .field("routes", static_cast<std::uint64_t>(config->routes.size()))
            .field("services", static_cast<std::uint64_t>(config->services.size()));
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

void store_watcher::apply_backend(const keyed_record& record)
{
    using coordination::directory_change;
    try
    {
        const directory_change change =
            record.is_removal
                ? this->shared.directory.remove(now(), record.key)
                : this->shared.directory.apply(
                      now(), this->reader.read_backend(record.key, record.value));
        if (change == directory_change::none || change == directory_change::updated)
            return;
        state::log_event(state::log_level::info, "backend_changed")
            .field("backend", record.key)
            .field("change", to_string(change))
            .field("offset", record.offset);
    }
    catch (const state::error& failure)
    {
        state::log_event(state::log_level::warning, "backend_unreadable")
            .field("backend", record.key)
            .field("offset", record.offset)
            .field("problem", failure.what());
    }
}

void store_watcher::apply_all_backends(const keyed_page& page)
{
    std::vector<state::backend_entry> entries;
    for (const keyed_record& record : page.records)
    {
        if (record.is_removal)
            continue;
        try
        {
            entries.push_back(this->reader.read_backend(record.key, record.value));
        }
        catch (const state::error& failure)
        {
            state::log_event(state::log_level::warning, "backend_unreadable")
                .field("backend", record.key)
                .field("problem", failure.what());
        }
    }
    state::log_event(state::log_level::info, "backends_read")
        .field("count", static_cast<std::uint64_t>(entries.size()));
    this->shared.directory.replace_all(now(), std::move(entries));
}

void store_watcher::on_contact(bool& reachable, bool is_reachable, std::string_view topic,
                               const std::string& problem)
{
    if (reachable == is_reachable)
        return;
    reachable = is_reachable;
    state::log_event(state::log_level::warning,
                     is_reachable ? "store_regained" : "store_lost")
        .field("topic", topic)
        .field("problem", problem);
}

asio::awaitable<void> store_watcher::pause(milliseconds duration)
{
    asio::steady_timer timer(this->shared.executor, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace pomelorouter::app
