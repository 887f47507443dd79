#include "app/gateway/process/gateway.hpp"

#include "app/gateway/serving/relayed_request.hpp"
#include "state/error.hpp"
#include "state/log.hpp"
#include "state/rate_limited_log.hpp"
#include "transport/background_task.hpp"
#include "transport/http_error.hpp"
#include "transport/pause.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using state::milliseconds;
using state::now;

namespace
{

constexpr milliseconds housekeeping_period{100};
constexpr milliseconds slow_housekeeping_period{500};
/// After the stop signal, new requests are accepted for this long, for callers that do
/// not know yet that this gateway is stopping.
constexpr milliseconds drain_notice_time{2500};
/// Requests still in progress this long before the end of the grace period are aborted.
constexpr milliseconds abort_margin{350};
constexpr milliseconds stop_poll{50};
/// Time for the answers to aborted requests to be written.
constexpr milliseconds abort_answer_time{200};
/// The event loop is reported as late if a timer fires this long after its time.
constexpr milliseconds max_timer_delay{250};
/// For this long, an aggregator forwards the notice that a backend server is leaving.
constexpr milliseconds leaving_forward_time{3000};

std::uint64_t wall_clock_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

protocol::gateway_member own_member(const state::gateway_settings& settings)
{
    constexpr double thousandths_per_unit = 1000.0;
    const double capacity =
        settings.processor_share * settings.link_mbit_per_s * thousandths_per_unit;
    return {settings.node_id,
            wall_clock_ms(),
            settings.zone,
            settings.listen,
            settings.control_listen,
            settings.peer_listen,
            false,
            static_cast<std::int64_t>(capacity)};
}

/// Connections that one listener accepts, by its part of the descriptors. The rest is for
/// connections to backend servers, the store and other gateways.
std::size_t max_connections(const state::gateway_settings& settings, std::size_t divisor)
{
    // The platform reserves this many descriptors for files.
    constexpr std::size_t file_descriptors = 200;
    constexpr std::size_t min_connections = 8;
    constexpr std::size_t most_connections = 10000;
    auto limit = static_cast<std::size_t>(settings.descriptor_limit);
    if (limit == 0)
    {
        rlimit process_limit{};
        ::getrlimit(RLIMIT_NOFILE, &process_limit);
        limit = static_cast<std::size_t>(process_limit.rlim_cur);
    }
    if (limit > 2 * file_descriptors)
        limit -= file_descriptors;
    return std::clamp(limit / divisor, min_connections, most_connections);
}

constexpr std::size_t callers_divisor = 2;
constexpr std::size_t internal_divisor = 16;

transport::http_server_limits server_limits(const state::gateway_settings& settings,
                                            const state::client_limits& limits)
{
    // A field that clients use takes more than this on average.
    constexpr std::size_t bytes_per_field = 64;
    constexpr std::size_t min_header_fields = 128;
    transport::http_server_limits result;
    result.max_connections = max_connections(settings, callers_divisor);
    result.idle_connections_give_way = true;
    result.max_header_fields =
        std::max(min_header_fields, limits.max_header_bytes / bytes_per_field);
    result.max_header_bytes = limits.max_header_bytes;
    result.max_body_bytes = limits.max_body_bytes;
    result.header_timeout = limits.header_timeout;
    result.idle_timeout = limits.idle_timeout;
    return result;
}

/// Limits of the listeners whose requests have no body, or one of a few numbers.
transport::http_server_limits internal_limits(const state::gateway_settings& settings)
{
    transport::http_server_limits result;
    result.max_connections = max_connections(settings, internal_divisor);
    result.idle_connections_give_way = true;
    result.max_header_bytes = 8 * 1024;
    result.max_body_bytes = 4 * 1024;
    return result;
}

} // namespace

gateway::gateway(asio::io_context& event_loop,
                 const state::gateway_settings& process_settings,
                 std::string settings_path, const platform_adapter& platform,
                 state::counter_registry& counters)
    : loop(event_loop),
      adapter(platform),
      shared(this->loop.get_executor(),
             std::make_shared<const state::gateway_settings>(process_settings), counters,
             wall_clock_ms()),
      settings_file(std::move(settings_path), this->shared.settings, counters,
                    [this](const state::gateway_settings& before)
                    { this->on_settings_changed(before); }),
      client(this->loop.get_executor()),
      store(this->adapter.make_store(this->shared.settings->platform, this->client)),
      config(
          this->shared, *this->store, this->client, this->adapter.documents(),
          [this](const state::gateway_config_ptr& newest) { this->on_config(*newest); },
          [this] {
              return this->backends.follows_aggregator() ||
                     this->peers.awaits_aggregator();
          }),
      backends(
          this->shared, *this->store, this->client, this->adapter.documents(),
          [this] { return this->peers.aggregator_control(); },
          [this] { return this->config.is_current(); },
          [this] { return this->peers.awaits_aggregator(); }),
      peers(this->shared, *this->store, this->client, own_member(*this->shared.settings)),
      placement(this->shared, *this->store, this->client, this->adapter.engines(),
                this->peers),
      permits(this->shared, this->client, this->peers, counters),
      origins(this->shared, this->client, this->peers, counters),
      crashes(this->loop.get_executor(), this->client, counters,
              [this](const coordination::backend_crash& crash)
              { this->on_crash(crash); }),
      saved_quarantines(
          this->shared, *this->store,
          [this] { return !this->peers.aggregator_control().empty(); },
          [this] { return this->peers.awaits_aggregator(); },
          [this](const std::vector<protocol::suspect_part>& parts)
          {
              this->shared.quarantine.merge(now(), parts);
              this->update_quarantine(false);
          }),
      quarantined_parts(counters.gauge("prompt_parts_quarantined",
                                       "prompt parts that crash backend servers, whose "
                                       "requests are refused")),
      speed_report(this->shared),
      relay(this->shared, this->adapter.requests(), this->client),
      directory(
          this->shared, this->adapter.directory(),
          [this] { return this->peers.ready_addresses(); },
          [this] { return this->is_ready(); }),
      control(this->shared, this->peers, this->config, this->backends, this->permits,
              this->origins, this->adapter.requests(), this->client),
      frontend_server(this->loop, server_limits(*this->shared.settings, {}), this->relay,
                      this->shared.counters),
      readiness_server(this->loop, internal_limits(*this->shared.settings),
                       this->directory, this->shared.counters),
      directory_server(this->loop, internal_limits(*this->shared.settings),
                       this->directory, this->shared.counters),
      control_server(this->loop, internal_limits(*this->shared.settings), this->control,
                     this->shared.counters),
      metrics_server(this->loop, internal_limits(*this->shared.settings), this->control,
                     this->shared.counters)
{
    using transport::memory_use;
    this->frontend_server.set_memory(this->shared.memory, memory_use::requests);
    this->readiness_server.set_memory(this->shared.memory, memory_use::probes);
    this->directory_server.set_memory(this->shared.memory, memory_use::probes);
    this->control_server.set_memory(this->shared.memory, memory_use::control);
    this->metrics_server.set_memory(this->shared.memory, memory_use::control);
}

void gateway::start()
{
    this->shared.started = now();
    auto bound = std::make_shared<state::gateway_settings>(*this->shared.settings);
    bound->listen = this->frontend_server.listen(bound->listen);
    this->readiness_server.listen(bound->readiness_listen);
    bound->directory_listen = this->directory_server.listen(bound->directory_listen);
    bound->control_listen = this->control_server.listen(bound->control_listen);
    if (!bound->metrics_listen.empty())
        this->metrics_server.listen(bound->metrics_listen);
    this->peers.set_addresses(bound->listen, bound->control_listen);
    state::log_event(state::log_level::info, "gateway_started")
        .field("version", POMELOROUTER_VERSION)
        .field("zone", bound->zone)
        .field("listen", bound->listen);
    this->shared.settings = std::move(bound);
    this->store->set_era_callback([this](std::uint64_t before)
                                  { this->on_store_era(before); });
    this->config.start();
    this->backends.start();
    this->peers.start([this](protocol::gateway_heartbeat& heartbeat)
                      { this->fill(heartbeat); },
                      [this](const protocol::gateway_heartbeat& heartbeat)
                      { this->on_heartbeat(heartbeat); });
    this->peers.set_origin_callback(
        [this](const std::vector<protocol::stream_origin>& notice)
        { this->origins.on_notice(notice); });
    this->placement.start();
    this->saved_quarantines.start();
    // Other gateways stop using a leaving backend server as soon as they hear of it.
    this->shared.on_backend_leaving = [this] { this->peers.send_heartbeat(); };
    this->shared.on_limit_changed = [this] { this->peers.send_heartbeat(); };
    this->shared.is_newer_config_announced = [this]
    { return this->config.is_newer_announced(); };
    this->shared.on_stream_begun =
        [this](const std::string& attempt, const std::string& software)
    { this->origins.on_begun(attempt, software); };
    this->shared.find_stream_origin =
        [this](std::string attempt, std::string service, milliseconds age)
    { return this->origins.find(std::move(attempt), std::move(service), age); };
    this->shared.on_permits_wanted = [this] { this->permits.request_permits(); };
    this->shared.on_call_lost = [this](const state::backend_entry& entry,
                                       std::optional<coordination::unanswered_call> call)
    { this->crashes.on_call_lost(entry, std::move(call)); };
    transport::spawn_restarting(this->shared.executor, "housekeeping",
                                [this] { return this->housekeeping(); });
}

void gateway::stop(std::function<void()> on_stopped)
{
    if (this->shared.is_stopping)
        return;
    this->shared.is_stopping = true;
    this->shared.exit_at = now() + this->shared.settings->grace_period - abort_margin;
    state::log_event(state::log_level::info, "gateway_stopping")
        .field("in_flight",
               static_cast<std::uint64_t>(this->frontend_server.requests_in_flight()));
    transport::spawn_task(this->shared.executor, "wind_down",
                          this->drain(std::move(on_stopped)));
}

bool gateway::is_ready() const
{
    return this->shared.routes != nullptr && this->backends.is_known() &&
           !this->shared.is_stopping;
}

void gateway::on_config(const state::gateway_config& newest)
{
    this->frontend_server.set_limits(
        server_limits(*this->shared.settings, newest.limits));
    this->shared.allowances.set_teams(now(), newest.teams);
    this->peers.send_heartbeat();
}

void gateway::on_settings_changed(const state::gateway_settings& before)
{
    const state::gateway_settings& settings = *this->shared.settings;
    this->shared.chooser.zones().set_price(settings.zone_traffic_cost_ms_per_mb);
    this->placement.on_settings_changed();
    if (before.platform != settings.platform)
        this->move_store(before.platform, settings.platform);
    // Last, so that the lines above are logged as before.
    state::set_log_limits(settings.minimum_log_level, settings.log_lines_per_s);
}

/// Nothing that was learned of the earlier store's offsets or era holds for the new one,
/// even if it has the same records.
void gateway::move_store(const std::string& from, const std::string& to)
{
    state::log_event(state::log_level::warning, "store_moved")
        .field("from", from)
        .field("to", to)
        .field("era", this->store->era());
    this->placement.on_store_moved();
    this->config.on_store_moved();
    this->backends.on_store_moved();
    // Ends the calls to the earlier store, whose callers then go on at the new one.
    this->store->move_to(to);
    this->peers.on_store_returned();
    this->saved_quarantines.start();
    this->save_quarantines_again();
    this->peers.send_heartbeat();
}

void gateway::on_store_era(std::uint64_t before)
{
    state::log_event(state::log_level::warning, "store_era_changed")
        .field("era", this->store->era())
        .field("before", before);
    this->placement.on_store_era();
    // The first era that is named shows no return.
    if (before == 0)
        return;
    this->config.on_store_returned();
    this->backends.on_store_returned();
    this->peers.on_store_returned();
    this->save_quarantines_again();
    this->peers.send_heartbeat();
}

void gateway::save_quarantines_again()
{
    if (!this->shared.is_strongest)
        return;
    for (const coordination::quarantined_part& part :
         this->shared.quarantine.quarantined())
        this->saved_quarantines.save(part);
    for (const coordination::part_key& key : this->shared.quarantine.released())
        this->saved_quarantines.remove(key);
}

void gateway::fill(protocol::gateway_heartbeat& heartbeat)
{
    this->peers.set_ready(this->is_ready());
    heartbeat.origin.ready = this->is_ready();
    heartbeat.config_version = this->config.config_version();
    for (const auto& [id, backend] : this->shared.directory.all())
    {
        // If gateways repeated to one another the notice that a backend server is
        // leaving, it would never expire. So only an aggregator forwards it, and for a
        // limited time.
        const bool is_forwarded =
            this->peers.is_aggregator() && backend->is_leaving &&
            now() - backend->leaving_reported_at < leaving_forward_time;
        if (backend->is_leaving_confirmed || is_forwarded)
            heartbeat.leaving.push_back({id, backend->entry.incarnation});
    }
    heartbeat.suspects = this->shared.quarantine.reports(now());
    heartbeat.limits = this->shared.limits.reports(now());
    heartbeat.store_era = this->store->era();
    heartbeat.store_id = this->store->id();
    heartbeat.store_contact = this->backends.store_contact();
    this->placement.fill(heartbeat);
}

void gateway::on_heartbeat(const protocol::gateway_heartbeat& heartbeat)
{
    // A gateway that names no store is of an earlier version.
    if (heartbeat.store_id == 0 || heartbeat.store_id == this->store->id())
        this->store->on_era(heartbeat.store_era);
    this->on_store_contact(heartbeat);
    bool has_new_leaving = false;
    for (const protocol::leaving_process& process : heartbeat.leaving)
    {
        if (!this->shared.directory.on_draining(now(), process.id, process.incarnation))
            continue;
        has_new_leaving = true;
        state::log_event(state::log_level::info, "backend_leaving_heard")
            .field("backend", process.id)
            .field("gateway", heartbeat.origin.node);
    }
    const bool has_new_suspects =
        this->shared.quarantine.merge(now(), heartbeat.suspects);
    if (has_new_suspects)
        this->update_quarantine();
    const bool has_new_limits = this->merge_limits(heartbeat);
    if ((has_new_leaving || has_new_suspects || has_new_limits) &&
        this->peers.is_aggregator())
        this->peers.send_heartbeat();
    this->placement.on_heartbeat(heartbeat);
    if (heartbeat.config_version > this->config.config_version())
        this->config.on_newer(heartbeat.origin.control, heartbeat.config_version);
}

void gateway::on_store_contact(const protocol::gateway_heartbeat& heartbeat)
{
    // Contact before the store's return, or with another store, shows nothing here.
    if (!heartbeat.store_contact || heartbeat.store_id != this->store->id() ||
        heartbeat.store_era != this->store->era())
        return;
    if (!this->shared.directory.on_other_contact(now(), *heartbeat.store_contact))
        return;
    state::log_event(state::log_level::info, "store_contact_heard")
        .field("gateway", heartbeat.origin.node)
        .field("duration_ms", heartbeat.store_contact->count());
}

bool gateway::merge_limits(const protocol::gateway_heartbeat& heartbeat)
{
    const std::vector<std::string> changed =
        this->shared.limits.merge(now(), heartbeat.limits);
    for (const std::string& backend : changed)
    {
        const std::optional<double> limit = this->shared.limits.limit(backend);
        state::log_event(state::log_level::info, "backend_limit_heard")
            .field("backend", backend)
            .field("per_s", limit ? std::to_string(*limit) : std::string("none"))
            .field("gateway", heartbeat.origin.node);
    }
    if (!changed.empty())
        this->shared.loads_changed.notify();
    return !changed.empty();
}

void gateway::on_crash(const coordination::backend_crash& crash)
{
    if (this->shared.quarantine.on_crash(now(), crash))
        this->peers.send_heartbeat();
    this->update_quarantine();
}

void gateway::update_quarantine(bool may_save)
{
    const bool must_save = may_save && this->shared.is_strongest;
    const std::vector<coordination::quarantined_part> quarantined =
        this->shared.quarantine.take_quarantined();
    const std::vector<coordination::part_key> released =
        this->shared.quarantine.take_released();
    for (const coordination::part_key& key : released)
    {
        state::log_event(state::log_level::warning, "prompt_part_released")
            .field("part", coordination::format_part_ids({key.part}))
            .field("service", key.service);
        if (must_save)
            this->saved_quarantines.remove(key);
    }
    for (const coordination::quarantined_part& part : quarantined)
    {
        state::log_event(state::log_level::warning, "prompt_part_quarantined")
            .field("part", coordination::format_part_ids({part.key.part}))
            .field("service", part.key.service)
            .field("round", part.round)
            .field("left_ms",
                   std::chrono::duration_cast<milliseconds>(part.until - now()).count())
            .field("reason", to_string(part));
        if (must_save)
            this->saved_quarantines.save(part);
    }
    if (quarantined.empty() && released.empty())
        return;
    this->quarantined_parts.set(
        static_cast<std::int64_t>(this->shared.quarantine.quarantined_parts()));
    this->peers.send_heartbeat();
    for (relayed_request* const request : this->shared.requests)
        request->on_quarantine();
    this->shared.loads_changed.notify();
}

asio::awaitable<void> gateway::housekeeping()
{
    state::time_point next_slow_housekeeping = now();
    for (;;)
    {
        const state::time_point timer_set = now();
        const milliseconds processor_time = state::process_cpu_time();
        co_await transport::pause(this->shared.executor, housekeeping_period);
        const milliseconds delay = state::since(timer_set) - housekeeping_period;
        if (delay > max_timer_delay)
        {
            state::log_event(state::log_level::warning, "event_loop_late")
                .field("delay_ms", delay.count())
                .field("cpu_ms", (state::process_cpu_time() - processor_time).count());
        }
        this->backends.tick();
        this->permits.tick();
        this->origins.tick();
        this->shared.is_strongest = this->peers.rank() == 0;
        this->shared.quarantine.tick(now());
        this->update_quarantine();
        if (now() < next_slow_housekeeping)
            continue;
        next_slow_housekeeping = now() + slow_housekeeping_period;
        this->client.drop_expired(now());
        this->shared.loads.forget_idle(now());
        this->forget_ended_processes();
        this->speed_report.update();
        this->update_zone_balance();
        this->crashes.forget_old(now());
        this->shared.chooser.retain(this->shared.directory);
        this->update_team_metrics();
        this->settings_file.reload_if_changed();
    }
}

void gateway::update_team_metrics()
{
    if (this->shared.routes == nullptr)
        return;
    state::counter_registry& counters = this->shared.counters;
    for (const state::team& team : this->shared.routes->config().teams)
    {
        if (!team.allowance.is_limited())
            continue;
        const coordination::allowance_view view = this->shared.allowances.view(team.name);
        const std::string label =
            "{team=" + boost::json::serialize(boost::json::string(team.name)) + "}";
        counters.gauge("team_asked_per_s" + label, "use asked for by a team")
            .set(std::llround(view.asked_per_s));
        counters.gauge("team_admitted_per_s" + label, "use admitted for a team")
            .set(std::llround(view.admitted_per_s));
        counters.gauge("team_limit_per_s" + label, "limit of the use of a team")
            .set(std::llround(view.limit_per_s));
    }
}

void gateway::update_zone_balance()
{
    std::map<std::string, coordination::zone_balance::load_map> services;
    for (const auto& [id, backend] : this->shared.directory.all())
    {
        if (backend->is_leaving)
            continue;
        const state::backend_entry& entry = backend->entry;
        const coordination::load_summary load = this->shared.loads.summary(
            now(), coordination::backend_chooser::process_key(entry));
        coordination::zone_load& sum = services[entry.service][entry.zone];
        sum.active += load.active + load.peer_active;
        sum.slots += std::max(entry.slots, 1);
    }
    coordination::zone_balance& zones = this->shared.chooser.zones();
    // The calls of a gateway without peers are all there are.
    const state::time_point reported_at =
        this->shared.gateways > 1 ? this->shared.loads.reported_at() : now();
    for (const auto& [service, loads] : services)
    {
        const double before = zones.share(service);
        zones.update(now(), reported_at, service, loads);
        const double share = zones.share(service);
        if ((before > 0.0) != (share > 0.0))
        {
            state::log_event(state::log_level::info, "zone_share")
                .field("service", service)
                .field("share", share);
        }
    }
}

void gateway::forget_ended_processes()
{
    std::set<std::string, std::less<>> listed;
    for (const auto& [id, backend] : this->shared.directory.all())
        listed.insert(backend->process);
    this->shared.limits.forget_old(now(), [&listed](std::string_view backend)
                                   { return listed.count(backend) > 0; });
    this->shared.chooser.speeds().retain(now(), listed);
}

asio::awaitable<void> gateway::drain(std::function<void()> on_stopped)
{
    const state::time_point drain_end = this->shared.exit_at;
    this->peers.send_heartbeat();
    this->frontend_server.announce_close();
    co_await transport::pause(this->shared.executor, drain_notice_time);
    this->shared.refuses_new_requests = true;
    this->frontend_server.stop_accepting();
    const auto has_work = [this]
    {
        return this->frontend_server.requests_in_flight() > 0 ||
               this->frontend_server.has_unread_requests();
    };
    while (now() < drain_end && has_work())
        co_await transport::pause(this->shared.executor, stop_poll);
    // A copy, since requests that end remove themselves.
    const std::set<relayed_request*> unfinished = this->shared.requests;
    for (relayed_request* const request : unfinished)
    {
        if (this->shared.requests.count(request) > 0)
            request->on_exit();
    }
    while (now() < drain_end + abort_answer_time && has_work())
        co_await transport::pause(this->shared.executor, stop_poll);
    state::log_event(state::log_level::info, "gateway_leaving")
        .field("broken_off",
               static_cast<std::uint64_t>(this->frontend_server.requests_in_flight()));
    on_stopped();
}

} // namespace pomelorouter::app
