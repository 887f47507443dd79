#include "app/gateway/placement/placement_agent.hpp"

#include "app/gateway/placement/control_filter.hpp"
#include "app/gateway/placement/lease_record_json.hpp"
#include "app/gateway/placement/loaded_models.hpp"
#include "app/gateway/placement/placement_log.hpp"
#include "state/boot_clock.hpp"
#include "state/error.hpp"
#include "state/log.hpp"
#include "transport/background_task.hpp"
#include "transport/http_error.hpp"
#include "transport/pause.hpp"

#include <algorithm>
#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using coordination::plan_operation;
using coordination::planned_order;
using state::milliseconds;
using state::now;

namespace
{

constexpr milliseconds lease_tick{100};
constexpr milliseconds plan_period{100};
constexpr milliseconds min_plan_interval{25};
/// Largest share of the event loop's time that planning takes. Requests, heartbeats and
/// reads of the store need the rest.
constexpr double max_plan_share = 0.25;
/// An adapter is assumed to be loaded this long after the engine accepted the order.
constexpr milliseconds adapter_load_time{35};
/// Gateways are told to stop using weights this long before the unload order is sent.
constexpr milliseconds unload_notice{250};
/// Heartbeats repeat a change of an engine's models for this long.
constexpr milliseconds announce_time{1500};
/// Delay before the next order or report request to an engine that did not respond or
/// refused an order.
constexpr milliseconds failure_pause{500};
constexpr milliseconds report_period{300};
/// Memory freed for a model stays reserved for it for this long.
constexpr milliseconds reservation_time{6000};
/// The same for the slot of an adapter, including the notice to the other gateways.
constexpr milliseconds adapter_reservation_time{1500};
constexpr milliseconds engine_list_stable_time{2500};
constexpr milliseconds state_log_period{1000};
/// Models are not loaded elsewhere because of a limit that is younger than this.
constexpr milliseconds min_limit_time{1000};
/// Placement counts an engine as no slower than this share of the median speed.
constexpr double min_relative_speed = 0.1;
/// Keeps a heartbeat within the size of a datagram. Other gateways learn of further
/// engines from the list of backend servers.
constexpr std::size_t max_announced_engines = 150;
/// The lease of another store counts as held for this long after a heartbeat with it.
constexpr milliseconds foreign_lease_validity{2400};
/// Time for gateways that start together to discover one another before one claims the
/// lease.
constexpr milliseconds startup_discovery_time{800};
/// A gateway delays its first read of the lease by this time for each gateway that is
/// stronger than itself.
constexpr milliseconds lease_read_step{300};

/// Lowers the speeds of engines that are slower than the median by their measured ratios
/// of actual to expected time. A ratio that all share comes from load, not from speed.
void set_relative_speeds(std::vector<coordination::planned_engine>& engines,
                         const std::vector<double>& ratios)
{
    if (ratios.empty())
        return;
    std::vector<double> sorted = ratios;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    for (std::size_t i = 0; i < engines.size(); ++i)
    {
        engines[i].tokens_per_s *=
            std::clamp(*middle / ratios[i], min_relative_speed, 1.0);
    }
}

coordination::store_lease_timing lease_timing(const state::gateway_settings& settings)
{
    coordination::store_lease_timing timing;
    timing.separation = settings.lease_duration;
    timing.engines_check_tokens = settings.engines_check_tokens;
    return timing;
}

} // namespace

placement_agent::placement_agent(gateway_state& gateway, keyed_store& platform_store,
                                 transport::http_client& http_client,
                                 const engine_protocol& platform_protocol,
                                 peer_gossip& gateway_peers)
    : shared(gateway),
      store(platform_store),
      client(http_client),
      engine_messages(platform_protocol),
      peers(gateway_peers),
      sizes(gateway),
      lease(gateway_peers.own().node, gateway_peers.own().incarnation,
            lease_timing(*gateway.settings)),
      plan_pacer(max_plan_share, min_plan_interval),
      plan_count(gateway.counters.count("placement_plans_total",
                                        "plans made as holder of the placement lease")),
      plan_us(gateway.counters.count("placement_plan_us_total",
                                     "duration of these plans in microseconds"))
{
}

void placement_agent::start()
{
    this->started = now();
    transport::spawn_restarting(this->shared.executor, "lease_loop",
                                [this] { return this->lease_loop(); });
    transport::spawn_restarting(this->shared.executor, "plan_loop",
                                [this] { return this->plan_loop(); });
}

void placement_agent::fill(protocol::gateway_heartbeat& heartbeat)
{
    heartbeat.lease = {this->lease.holder(), this->lease.epoch(),
                       this->lease.end_offset()};
    if (!this->lease.is_holder())
    {
        if (now() < this->forwarded_until)
            heartbeat.weights = this->forwarded_weights;
        return;
    }
    for (const auto& [id, control] : this->engines)
    {
        if (heartbeat.weights.size() == max_announced_engines)
            break;
        if (now() < control.announce_until || !control.unloading.empty())
        {
            heartbeat.weights.push_back(
                {id, control.incarnation, control.sequence, control.models});
        }
    }
}

void placement_agent::on_heartbeat(const protocol::gateway_heartbeat& heartbeat)
{
    // A sender that names no store, or knows no era, is of an earlier version.
    const bool is_same_store =
        heartbeat.store_id == 0 || heartbeat.store_id == this->store.id();
    if (!is_same_store)
        this->on_foreign_lease(heartbeat.lease);
    else if (heartbeat.store_era == 0 || heartbeat.store_era == this->store.era())
    {
        this->lease.on_peer_report(state::boot_time(), heartbeat.lease.holder,
                                   heartbeat.lease.epoch, heartbeat.lease.end_offset);
    }
    bool directory_changed = false;
    if (heartbeat.lease.epoch >= this->lease.epoch())
    {
        for (const protocol::engine_weights& weights : heartbeat.weights)
        {
            directory_changed |= this->shared.directory.on_weights(
                now(), weights.engine, weights.incarnation, weights.order_sequence,
                weights.models);
        }
    }
    if (directory_changed)
    {
        this->shared.backends_changed.notify();
        this->forwarded_until = now() + announce_time;
        const bool is_new_announcement =
            !is_same(this->forwarded_weights, heartbeat.weights);
        this->forwarded_weights = heartbeat.weights;
        if (is_new_announcement && !this->lease.is_holder())
            this->peers.send_weights();
    }
    const bool has_waiting = std::any_of(heartbeat.rates.begin(), heartbeat.rates.end(),
                                         [](const protocol::weight_rate_entry& rate)
                                         { return rate.waiting > 0; });
    if (has_waiting && this->lease.is_holder())
        this->shared.backends_changed.notify();
}

/// While the settings of the gateways differ, the conditional appends of one store do not
/// exclude a holder in the other one. So nobody claims the lease while a living gateway
/// holds it elsewhere, and of two holders that did not hear of each other in time, the
/// one with the lower epoch gives up.
void placement_agent::on_foreign_lease(const protocol::lease_view& heard)
{
    const bool is_held = !heard.holder.empty() &&
                         heard.holder != this->peers.own().node &&
                         this->peers.members().is_alive(now(), heard.holder);
    if (!is_held)
        return;
    if (this->lease.is_holder())
    {
        if (heard.epoch > this->lease.epoch())
            this->lease.on_fenced();
        return;
    }
    this->held_elsewhere_until = state::boot_time() + foreign_lease_validity;
}

asio::awaitable<void> placement_agent::lease_loop()
{
    for (;;)
    {
        const auto age = now() - this->started;
        const bool may_hold =
            this->shared.routes != nullptr && !this->shared.is_stopping &&
            age >= startup_discovery_time &&
            (this->lease.is_holder() || state::boot_time() >= this->held_elsewhere_until);
        if (this->lease.needs_read() && this->is_turn_to_read())
            co_await this->read_lease();
        coordination::lease_append append;
        if (this->lease.next_append(state::boot_time(), this->peers.rank(), may_hold,
                                    append))
            co_await this->append_lease(append);
        if (this->lease.is_holder() != this->was_holder)
        {
            this->was_holder = this->lease.is_holder();
            this->engines.clear();
            ++this->term;
            this->load_limiter.reset(now());
            state::log_event(state::log_level::info,
                             this->was_holder ? "lease_taken" : "lease_lost")
                .field("epoch", this->lease.epoch())
                .field("holder", this->lease.holder());
        }
        co_await transport::pause(this->shared.executor, lease_tick);
    }
}

/// A weaker gateway usually hears of a lease holder before its delay ends, and then does
/// not have to read the lease topic.
bool placement_agent::is_turn_to_read() const
{
    if (this->lease.end_offset() > 0 || this->lease.continues(state::boot_time()))
        return true;
    const auto delay = lease_read_step * static_cast<int>(this->peers.rank());
    return now() - this->started >= startup_discovery_time + delay &&
           now() - this->era_begun >= delay;
}

void placement_agent::on_store_era()
{
    this->era_begun = now();
    this->lease.on_era(state::boot_time(), this->store.era());
}

void placement_agent::on_store_moved()
{
    this->era_begun = now();
    this->lease.on_store_moved(state::boot_time());
}

void placement_agent::on_settings_changed()
{
    this->lease.set_timing(lease_timing(*this->shared.settings));
}

asio::awaitable<void> placement_agent::read_lease()
{
    try
    {
        const keyed_page page = co_await this->store.newest(store_topic::lease);
        coordination::lease_record newest;
        const std::string key = lease_key_of(this->store.era());
        for (const keyed_record& record : page.records)
        {
            if (record.is_removal)
                continue;
            const coordination::lease_record item = decode_lease_record(record.value);
            if (record.key == key || item.epoch > newest.epoch)
                newest = item;
            if (record.key == key)
                break;
        }
        this->lease.on_read(state::boot_time(), newest, page.next);
    }
    catch (const state::error& failure)
    {
        this->lease.on_read_failed(state::boot_time());
        state::log_event(state::log_level::info, "lease_not_read")
            .field("problem", failure.what());
    }
}

asio::awaitable<void> placement_agent::append_lease(coordination::lease_append append)
{
    this->lease.on_sending(state::boot_time());
    try
    {
        const append_result result = co_await this->store.append(
            store_topic::lease, lease_key_of(this->store.era()),
            encode_lease_record(append.record), append.expected_end);
        this->lease.on_append_response(state::boot_time(), append, result.is_appended,
                                       result.end);
        if (result.is_appended)
            this->peers.send_heartbeat();
    }
    catch (const state::error& failure)
    {
        this->lease.on_append_unknown(state::boot_time());
        state::log_event(state::log_level::info, "lease_append_failed")
            .field("epoch", append.record.epoch)
            .field("problem", failure.what());
    }
}

asio::awaitable<void> placement_agent::plan_loop()
{
    for (;;)
    {
        co_await this->shared.backends_changed.wait(plan_period);
        const auto remaining = this->plan_pacer.next_start() - now();
        if (remaining.count() > 0)
        {
            co_await transport::pause(this->shared.executor,
                                      std::chrono::ceil<milliseconds>(remaining));
        }
        // Another gateway may hold the lease, and has to know of waiting requests.
        const bool has_waiting = this->shared.demand.has_waiting();
        if (has_waiting && !this->had_waiting && !this->lease.is_holder())
            this->peers.send_demand();
        this->had_waiting = has_waiting;
        this->track_engine_count();
        this->sizes.track();
        this->plan();
    }
}

void placement_agent::plan()
{
    if (!this->lease.may_issue_orders(state::boot_time()) || !this->shared.routes)
        return;
    const state::time_point start = now();
    for (const state::gateway_service& service : this->shared.routes->config().services)
    {
        if (service.engine)
            this->plan_service(service);
    }
    const state::time_point end = now();
    this->plan_pacer.on_run(start, end);
    const auto duration = std::chrono::duration_cast<state::microseconds>(end - start);
    this->plan_count.add();
    this->plan_us.add(duration.count());
    ++this->statistics.plans;
    this->statistics.total += duration;
    this->statistics.longest = std::max(this->statistics.longest, duration);
}

void placement_agent::plan_service(const state::gateway_service& service)
{
    const int store_loads = this->load_limiter.available(
        now(), service.engine->loads_per_s * this->shared.settings->load_rate_factor);
    this->refresh_engines(service);
    std::vector<coordination::planned_engine> engine_list =
        this->planned_engines(service);
    const bool is_stable = this->is_engine_list_stable();
    std::map<std::string, int>& copies = this->initial_copies[service.name];
    if (is_stable && copies.empty())
    {
        for (const coordination::planned_engine& engine : engine_list)
        {
            for (const state::loaded_model& model : engine.models)
                ++copies[model.name];
        }
    }
    const coordination::weight_demand::rates demand = this->shared.demand.total(now());
    if (now() - this->last_state_log >= state_log_period)
    {
        this->last_state_log = now();
        log_placement(engine_list, demand, std::exchange(this->statistics, {}));
    }
    const auto orders =
        this->planner.plan(*service.engine, std::move(engine_list), service.name, demand,
                           copies, store_loads, is_stable);
    for (const planned_order& order : orders)
    {
        const state::hosted_model* const model = service.engine->find_model(order.model);
        // What the configuration no longer lists can still be unloaded.
        if (model != nullptr || is_unload(order.operation))
            this->start_order(order, model == nullptr ? state::hosted_model{} : *model);
    }
}

/// Whether no engine was added for a while. Engines that start together register one
/// after another, and a later one may hold models that the earlier ones lack.
bool placement_agent::is_engine_list_stable() const
{
    return now() - this->engines_changed >= engine_list_stable_time;
}

void placement_agent::track_engine_count()
{
    std::size_t known = 0;
    for (const auto& [id, backend] : this->shared.directory.all())
        known += backend->entry.models.empty() ? 0 : 1;
    if (known > this->known_engines)
        this->engines_changed = now();
    this->known_engines = known;
}

void placement_agent::refresh_engines(const state::gateway_service& service)
{
    for (const auto& backend : this->shared.directory.of_service(service.name))
    {
        if (backend->is_leaving)
            continue;
        const state::backend_entry& entry = backend->entry;
        engine_control& control = this->control_of(entry);
        if (!control.is_known && !control.has_order && now() >= control.pause_until)
        {
            control.has_order = true;
            transport::spawn_task(this->shared.executor, "learn",
                                  this->query_engine(entry));
        }
        if (control.unloading.empty())
            continue;
        // Newer entries of the engine in the list of backend servers still name the model
        // that is being unloaded, so it is removed from the directory again.
        this->shared.directory.on_weights(now(), entry.id, control.incarnation,
                                          control.sequence, control.models);
    }
}

std::vector<coordination::planned_engine>
placement_agent::planned_engines(const state::gateway_service& service)
{
    std::vector<coordination::planned_engine> result;
    std::vector<double> ratios;
    for (const auto& backend : this->shared.directory.of_service(service.name))
    {
        if (backend->is_leaving)
            continue;
        const state::backend_entry& entry = backend->entry;
        engine_control& control = this->control_of(entry);
        coordination::planned_engine engine;
        engine.id = entry.id;
        const bool is_reported = control.is_known || !control.unloading.empty();
        engine.models = is_reported ? control.models : entry.models;
        engine.sizes = this->sizes.sizes_of(entry, engine.models);
        engine.cached.insert(entry.in_memory.begin(), entry.in_memory.end());
        engine.cached.insert(entry.on_disk.begin(), entry.on_disk.end());
        const auto load = this->shared.loads.summary(
            now(), coordination::backend_chooser::process_key(entry));
        engine.active = load.active + load.peer_active;
        ratios.push_back(std::max(load.slow_ratio, 1.0));
        engine.limit_per_s = this->shared.limits.lasting_limit(
            now(), coordination::backend_chooser::process_key(entry), min_limit_time);
        engine.is_busy =
            !control.is_known || control.has_order || now() < control.pause_until;
        engine.loading = control.loading;
        if (now() < control.reserved_until)
            engine.reserved = control.reserved;
        if (now() < control.adapter_reserved_until)
            engine.reserved_adapter = control.reserved_adapter;
        result.push_back(std::move(engine));
    }
    set_relative_speeds(result, ratios);
    return result;
}

placement_agent::engine_control&
placement_agent::control_of(const state::backend_entry& entry)
{
    engine_control& control = this->engines[entry.id];
    if (control.incarnation != entry.incarnation)
    {
        control = {};
        control.incarnation = entry.incarnation;
    }
    return control;
}

void placement_agent::start_order(const planned_order& order,
                                  const state::hosted_model& model)
{
    const auto backend = this->shared.directory.find(order.engine);
    if (!backend)
        return;
    engine_control& control = this->control_of(backend->entry);
    control.has_order = true;
    if (order.operation == plan_operation::load_model)
    {
        control.loading = order.model;
        control.reserved.clear();
    }
    if (is_adapter_operation(order.operation))
    {
        control.reserved_adapter = order.room_for;
        control.adapter_reserved_until = now() + adapter_reservation_time;
    }
    else if (!order.room_for.empty())
    {
        control.reserved = order.room_for;
        control.reserved_until = now() + reservation_time;
    }
    if (order.from_store)
        this->load_limiter.take();
    transport::spawn_task(this->shared.executor, "carry_out",
                          this->execute_order(backend->entry, order, model));
}

asio::awaitable<void> placement_agent::execute_order(state::backend_entry entry,
                                                     planned_order order,
                                                     state::hosted_model model)
{
    const std::uint64_t start_term = this->term;
    if (is_unload(order.operation))
    {
        // The other gateways stop using the weights before the engine unloads them.
        engine_control& control = this->control_of(entry);
        remove_weights(control.models, order.model, order.adapter);
        if (order.operation == plan_operation::unload_model)
            control.unloading = order.model;
        this->announce(entry.id);
        co_await transport::pause(this->shared.executor, unload_notice);
    }
    if (start_term != this->term)
        co_return;
    const std::optional<order_response> response =
        co_await this->send_order(entry, order);
    if (start_term != this->term)
        co_return;
    const bool is_done =
        response == order_response::accepted || response == order_response::already_done;
    // An engine accepts a load only after it has finished the preceding unload.
    const bool is_load_accepted = order.operation == plan_operation::load_model &&
                                  response == order_response::accepted;
    const bool is_unload_done = order.operation == plan_operation::unload_model &&
                                response == order_response::already_done;
    if (is_load_accepted || is_unload_done)
        this->control_of(entry).unloading.clear();
    if (is_load_accepted)
        this->sizes.on_load(entry, model);
    // An engine unloads an adapter at once and responds with `already_done`; it
    // still increments its order sequence for that order.
    const bool is_counted =
        response == order_response::accepted ||
        (response == order_response::already_done && is_unload(order.operation));
    if (is_counted)
        ++this->control_of(entry).sequence;
    if (is_done && order.operation == plan_operation::load_adapter)
    {
        co_await transport::pause(this->shared.executor, adapter_load_time);
        if (start_term != this->term)
            co_return;
        add_adapter(this->control_of(entry).models, order.model, order.adapter);
        this->announce(entry.id);
    }
    if (is_done && order.operation == plan_operation::load_model)
        co_await this->wait_for_model(
            entry, model, order.from_store ? model.store_load : model.disk_load);
    if (start_term != this->term)
        co_return;
    engine_control& control = this->control_of(entry);
    control.has_order = false;
    control.loading.clear();
    if (is_done)
        co_return;
    // The models of the engine and its order sequence are unknown now.
    control.is_known = false;
    control.pause_until = now() + failure_pause;
    if (response == order_response::fenced)
        this->lease.on_fenced();
}

asio::awaitable<void> placement_agent::query_engine(state::backend_entry entry)
{
    const std::uint64_t start_term = this->term;
    co_await this->read_report(entry);
    if (start_term == this->term)
        this->control_of(entry).has_order = false;
}

asio::awaitable<bool> placement_agent::read_report(const state::backend_entry& entry)
{
    const std::uint64_t start_term = this->term;
    transport::http_call_options options;
    options.progress_timeout = milliseconds(500);
    options.pool = transport::connection_pool::control;
    try
    {
        const control_filter filter(this->engine_messages,
                                    coordination::exchange_kind::report);
        const transport::http_response response = co_await this->client.fetch(
            entry.address, this->engine_messages.report_request(), options, &filter);
        if (start_term != this->term)
            co_return false;
        const engine_report report = this->engine_messages.read_report(response);
        engine_control& control = this->control_of(entry);
        control.sequence = report.order_sequence;
        control.models = report.models;
        control.is_known = !report.is_busy;
        if (report.is_busy)
        {
            control.pause_until = now() + report_period;
            remove_weights(control.models, control.unloading, "");
        }
        else
            control.unloading.clear();
        co_return control.is_known;
    }
    catch (const state::error& failure)
    {
        this->control_of(entry).pause_until = now() + failure_pause;
        state::log_event(state::log_level::info, "report_failed")
            .field("engine", entry.id)
            .field("problem", failure.what());
        co_return false;
    }
}

asio::awaitable<std::optional<order_response>>
placement_agent::send_order(const state::backend_entry& entry, const planned_order& order)
{
    // The lease may have expired while the order was prepared.
    if (!this->lease.may_issue_orders(state::boot_time()))
        co_return std::nullopt;
    engine_order_request request;
    request.operation =
        is_unload(order.operation) ? order_operation::unload : order_operation::load;
    request.model = order.model;
    request.adapter = is_adapter_operation(order.operation) ? order.adapter : "";
    request.holder = this->peers.own().node;
    request.fencing_token = this->lease.epoch();
    request.expected_sequence = this->control_of(entry).sequence;
    request.engine_id = entry.id;
    transport::http_call_options options;
    options.progress_timeout = milliseconds(700);
    // A repeated response to another order or report could not be told from that to this
    // one.
    options.pool = transport::connection_pool::none;
    std::optional<order_response> answer;
    std::string problem;
    try
    {
        const control_filter filter(this->engine_messages,
                                    coordination::exchange_kind::order);
        const transport::http_response response = co_await this->client.fetch(
            entry.address, this->engine_messages.order(request), options, &filter);
        answer = this->engine_messages.read_order_response(response);
    }
    catch (const state::error& failure)
    {
        problem = failure.what();
    }
    state::log_event(state::log_level::info, "order")
        .field("engine", entry.id)
        .field("operation", to_string(order.operation))
        .field("model", order.model)
        .field("adapter", order.adapter)
        .field("reason", order.reason)
        .field("epoch", request.fencing_token)
        .field("sequence", *request.expected_sequence)
        .field("held", weights_text(this->control_of(entry).models))
        .field("answer", answer ? to_string(*answer) : "none")
        .field("problem", problem);
    co_return answer;
}

asio::awaitable<void> placement_agent::wait_for_model(const state::backend_entry& entry,
                                                      const state::hosted_model& model,
                                                      milliseconds expected)
{
    // Loads take longer while many run at the same time.
    const state::time_point limit = now() + 3 * expected + milliseconds(2000);
    co_await transport::pause(this->shared.executor, expected);
    while (now() < limit && this->lease.is_holder())
    {
        const auto backend = this->shared.directory.find(entry.id);
        const bool is_gone = !backend || backend->entry.incarnation != entry.incarnation;
        if (is_gone)
            break;
        if (co_await this->read_report(entry))
        {
            this->announce(entry.id);
            co_return;
        }
        co_await transport::pause(this->shared.executor, report_period);
    }
    // The engine may still be loading the model, and then has no memory for another one.
    this->control_of(entry).is_known = false;
    state::log_event(state::log_level::warning, "load_not_seen")
        .field("engine", entry.id)
        .field("model", model.name);
}

void placement_agent::announce(const std::string& engine)
{
    engine_control& control = this->engines[engine];
    control.announce_until = now() + announce_time;
    this->shared.directory.on_weights(now(), engine, control.incarnation,
                                      control.sequence, control.models);
    this->shared.backends_changed.notify();
    this->peers.send_weights();
}

} // namespace pomelorouter::app
