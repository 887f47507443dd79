#include "app/gateway/store/backend_watcher.hpp"

#include "protocol/backend_page.hpp"
#include "state/boot_clock.hpp"
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
using coordination::feed_record;
using state::milliseconds;
using state::now;

namespace
{

/// Delay between two reads of the list. Polls, since each backend server writes about
/// once a second and a read that waits for a record would return at once.
constexpr milliseconds read_period{800};
/// Delay after a failed read.
constexpr milliseconds retry_delay{250};
/// An aggregator responds after its next read of the store, or after this time at the
/// latest.
constexpr milliseconds max_response_wait{900};
constexpr milliseconds aggregator_timeout{1200};
/// Maximum duration of a whole response of the aggregator.
constexpr milliseconds aggregator_total_timeout{2000};
/// Delay before an aggregator that did not respond is asked again.
constexpr milliseconds aggregator_retry_delay{5000};
constexpr milliseconds aggregator_wait_poll{20};
/// A response of the aggregator is valid for this long.
constexpr milliseconds aggregator_validity{2500};
/// Two successive reads of the list that are further apart are logged.
constexpr milliseconds max_read_gap{2500};
/// A list counts as current for this long after its last read.
constexpr milliseconds list_validity{2500};

} // namespace

backend_watcher::backend_watcher(gateway_state& gateway, keyed_store& platform_store,
                                 transport::http_client& http_client,
                                 const document_reader& documents,
                                 aggregator_callback find_aggregator,
                                 reachability_callback check_settings_reachable,
                                 aggregator_wait_callback must_wait)
    : shared(gateway),
      store(platform_store),
      client(http_client),
      reader(documents),
      aggregator(std::move(find_aggregator)),
      settings_reachable(std::move(check_settings_reachable)),
      awaits_aggregator(std::move(must_wait)),
      feed_read(gateway.executor)
{
}

void backend_watcher::start()
{
    transport::spawn_restarting(this->shared.executor, "backend_watcher",
                                [this] { return this->watch(); });
}

bool backend_watcher::follows_aggregator() const
{
    return now() < this->follows_until;
}

asio::awaitable<void> backend_watcher::watch()
{
    while (this->awaits_aggregator())
        co_await transport::pause(this->shared.executor, aggregator_wait_poll);
    for (;;)
    {
        const std::string address = this->aggregator();
        if (!address.empty() && now() >= this->next_aggregator_read)
        {
            const bool is_start = !this->feed.next();
            if (co_await this->read_aggregator(address))
                continue;
            // Gateways that start together send this request before their aggregator has
            // read the list, so the first retry comes sooner.
            this->next_aggregator_read =
                now() + (is_start ? retry_delay : aggregator_retry_delay);
        }
        const bool had_position = this->feed.next().has_value();
        const bool succeeded = co_await this->read_store();
        // The records after the position are lost. The complete list is read at once,
        // since removals may be among them.
        if (succeeded && had_position && !this->feed.next())
            continue;
        co_await transport::pause(this->shared.executor,
                                  succeeded ? read_period : retry_delay);
    }
}

asio::awaitable<bool> backend_watcher::read_aggregator(std::string address)
{
    transport::http_call_options options;
    options.progress_timeout = aggregator_timeout;
    options.total_timeout = aggregator_total_timeout;
    options.max_body_bytes = protocol::backend_page_max_bytes;
    std::string target = "/gateway/backends";
    if (this->feed.next())
    {
        target += "?from=" + std::to_string(*this->feed.next()) +
                  "&era=" + std::to_string(this->store.era()) +
                  "&store=" + std::to_string(this->store.id());
    }
    std::string problem;
    try
    {
        const transport::http_response response = co_await this->client.fetch(
            address, transport::make_request(transport::verb::get, target), options);
        if (response.result() != transport::status::ok)
        {
            throw state::error(state::error_code::malformed_frame, address + target,
                               "expected status 200");
        }
        const protocol::backend_page page =
            protocol::decode_backend_page(response.body());
        // A sender that names no store is of an earlier version.
        if (page.store_id != 0 && page.store_id != this->store.id())
        {
            throw state::error(state::error_code::log_unavailable, address + target,
                               "expected a page of the same store");
        }
        if (!this->store.on_era(page.store_era))
        {
            throw state::error(state::error_code::log_unavailable, address + target,
                               "expected a page of the store's present era");
        }
        if (page.list_reachable)
        {
            std::vector<feed_record> records = this->feed.complete(page);
            for (feed_record& record : records)
            {
                if (!record.entry && !record.is_removal)
                    record = this->parse({record.offset, record.key, record.value});
            }
            this->on_contact(true, "");
            if (page.is_full_list)
                this->apply_all(page.next, records);
            else
                this->apply(records);
            if (!page.is_full_list)
                this->feed.set_next(std::max(page.next, this->feed.next().value_or(0)));
            this->on_read("aggregator");
            if (page.settings_reachable)
                this->follows_until = now() + aggregator_validity;
            co_return true;
        }
        problem = "the aggregator cannot reach the store";
    }
    catch (const state::error& failure)
    {
        problem = failure.what();
    }
    this->follows_until = {};
    state::log_event(state::log_level::info, "aggregator_failed")
        .field("aggregator", address)
        .field("problem", problem);
    co_return false;
}

asio::awaitable<std::string> backend_watcher::wait_for_page(feed_position position)
{
    const auto is_of_present_records = [this, &position]
    {
        return position.era == this->store.era() &&
               (position.store == 0 || position.store == this->store.id());
    };
    const bool has_new_records =
        this->feed.next() &&
        (!position.from || this->feed.next() > position.from || !is_of_present_records());
    if (!has_new_records)
        co_await this->feed_read.wait(max_response_wait);
    // The offset of another store or era does not tell what the receiver has.
    if (!is_of_present_records())
        position.from.reset();
    protocol::backend_page page = this->feed.page(position.from);
    page.store_era = this->store.era();
    page.store_id = this->store.id();
    // The last read may have succeeded long ago if the present one takes long.
    page.list_reachable = this->reachable && this->feed.next().has_value() &&
                          state::since(this->last_read) < list_validity;
    page.settings_reachable = this->settings_reachable();
    co_return protocol::encode_backend_page(page);
}

asio::awaitable<bool> backend_watcher::read_store()
{
    try
    {
        const std::optional<std::uint64_t> position = this->feed.next();
        keyed_page page;
        if (position)
        {
            page = co_await this->store.changes(store_topic::backend_servers, *position,
                                                milliseconds(0));
        }
        else
            page = co_await this->store.newest(store_topic::backend_servers);
        std::vector<feed_record> records;
        for (const keyed_record& record : page.records)
            records.push_back(this->parse(record));
        this->on_store_response();
        if (position)
            this->apply(records);
        else
            this->apply_all(page.next, records);
        this->feed.set_next(page.next);
        this->on_read("store");
        co_return true;
    }
    catch (const transport::log_truncated& failure)
    {
        state::log_event(state::log_level::info, "backend_list_truncated")
            .field("problem", failure.what());
        this->on_store_response();
        this->feed.set_next(std::nullopt);
        co_return true;
    }
    catch (const store_changed&)
    {
        co_return true;
    }
    catch (const state::error& failure)
    {
        this->own_contact.on_interruption();
        this->on_contact(false, failure.what());
        co_return false;
    }
}

void backend_watcher::on_store_response()
{
    this->own_contact.on_response(state::boot_time());
    this->on_contact(true, "");
}

std::optional<milliseconds> backend_watcher::store_contact() const
{
    return this->own_contact.duration(state::boot_time());
}

feed_record backend_watcher::parse(const keyed_record& record) const
{
    feed_record result{record.offset, record.key, record.value, record.is_removal, {}};
    if (record.is_removal)
        return result;
    try
    {
        result.entry = this->reader.read_backend(record.key, record.value);
    }
    catch (const state::error& failure)
    {
        state::log_event(state::log_level::warning, "backend_unreadable")
            .field("backend", record.key)
            .field("offset", record.offset)
            .field("problem", failure.what());
    }
    return result;
}

void backend_watcher::apply(const std::vector<feed_record>& records)
{
    using coordination::directory_change;
    for (const feed_record& record : records)
    {
        this->feed.apply(record);
        directory_change change = directory_change::none;
        if (record.is_removal)
            change = this->shared.directory.remove(now(), record.key);
        else if (record.entry)
            change = this->shared.directory.apply(now(), *record.entry);
        if (change == directory_change::none || change == directory_change::updated)
            continue;
        state::log_event(state::log_level::info, "backend_changed")
            .field("backend", record.key)
            .field("change", to_string(change))
            .field("offset", record.offset);
    }
    if (!records.empty())
        this->shared.backends_changed.notify();
}

void backend_watcher::apply_all(std::uint64_t next,
                                const std::vector<feed_record>& records)
{
    std::vector<state::backend_entry> entries;
    for (const feed_record& record : records)
    {
        if (record.entry)
            entries.push_back(*record.entry);
    }
    state::log_event(state::log_level::info, "backends_read")
        .field("count", static_cast<std::uint64_t>(entries.size()));
    this->feed.replace_all(next, records);
    coordination::backend_directory& directory = this->shared.directory;
    const std::vector<coordination::backend_removal> removals =
        std::exchange(this->is_list_restored, false)
            ? directory.restore_all(now(), std::move(entries))
            : directory.replace_all(now(), std::move(entries));
    for (const coordination::backend_removal& removal : removals)
    {
        if (removal.change == coordination::directory_change::none)
            continue;
        state::log_event(state::log_level::info, "backend_changed")
            .field("backend", removal.id)
            .field("change", to_string(removal.change))
            .field("offset", next);
    }
    this->shared.backends_changed.notify();
}

void backend_watcher::on_read(std::string_view source)
{
    const milliseconds gap = state::since(this->last_read);
    if (this->is_known() && gap > max_read_gap)
    {
        state::log_event(state::log_level::info, "backends_read_late")
            .field("gap_ms", gap.count())
            .field("source", source);
    }
    this->last_read = now();
    this->shared.is_backend_list_known = true;
    this->feed_read.notify();
}

void backend_watcher::on_store_returned()
{
    this->feed.set_next(std::nullopt);
    this->is_list_restored = true;
    this->own_contact.on_interruption();
    this->shared.directory.on_store_returned(now());
}

/// Backend servers write their entries again, so the list of the new store is taken like
/// that of an older copy.
void backend_watcher::on_store_moved()
{
    this->on_store_returned();
    this->follows_until = {};
    this->next_aggregator_read = {};
}

void backend_watcher::tick()
{
    for (const std::string& id : this->shared.directory.tick(now()))
        state::log_event(state::log_level::info, "backend_gone").field("backend", id);
}

void backend_watcher::on_contact(bool is_reachable, const std::string& problem)
{
    this->shared.directory.on_store_contact(now(), is_reachable);
    if (this->reachable == is_reachable)
        return;
    this->reachable = is_reachable;
    state::log_event(state::log_level::warning,
                     is_reachable ? "store_regained" : "store_lost")
        .field("topic", "backend_servers")
        .field("problem", problem);
}

} // namespace pomelorouter::app
