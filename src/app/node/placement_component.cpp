#include "app/node/placement_component.hpp"

#include "state/log.hpp"

#include <utility>

namespace pomelorouter::app
{

using coordination::append_outcome;
using state::error;
using state::error_code;

namespace
{

constexpr const char* stream_name = "fleet";

state::time_point steady_now()
{
    return std::chrono::steady_clock::now();
}

append_outcome end_of(const append_result& result)
{
    if (!result.failure)
        return append_outcome::appended;
    const error_code code = result.failure->code();
    return code == error_code::rate_limited || code == error_code::connect_failed
               ? append_outcome::not_appended
               : append_outcome::unknown;
}

} // namespace

placement_component::placement_component(const node_identity& identity,
                                         const coordination::peer_status& peers,
                                         platform_port& platform_requests,
                                         order_port& orders, demand_tracker& tracker,
                                         state::event_log& event_log,
                                         state::counter_registry& counters)
    : peer_status(peers),
      platform(platform_requests),
      dispatcher(orders),
      demand(tracker),
      events(event_log),
      skipped_records(counters.count("log_skipped_records_total",
                                     "records that could not be read and were skipped")),
      is_holder(counters.gauge("placement_lease_held",
                               "1 while this node holds the placement lease")),
      open_orders(counters.gauge("placement_open_orders",
                                 "orders of this node that are not closed")),
      placement(identity.id, identity.incarnation, identity.zone, peers, *this)
{
}

void placement_component::start()
{
    this->platform.follow(stream_name, 0);
}

void placement_component::on_page(const stream_page& event)
{
    if (event.stream != stream_name)
        return;
    const state::time_point now = steady_now();
    // The first page shows whether the stream is read from its beginning.
    if (!std::exchange(this->has_read_page, true))
    {
        const bool is_first = event.page.records.empty()
                                  ? event.page.next == 0
                                  : event.page.records.front().offset == 0;
        if (is_first)
            this->placement.begin_at(0);
    }
    for (const transport::log_record& record : event.page.records)
        this->apply(record, now);
    this->placement.on_page_end(now);
}

void placement_component::on_truncated(const stream_truncated& event)
{
    if (event.stream != stream_name)
        return;
    this->has_read_page = true;
    this->placement.begin_at(event.first);
}

void placement_component::on_instances(const instances_listed& event)
{
    std::vector<coordination::listed_engine> engines;
    this->addresses.clear();
    for (const state::instance& item : event.instances)
    {
        if (item.kind != state::instance_kind::engine)
            continue;
        engines.push_back(
            {item.id, item.zone, item.state == state::instance_state::leaving});
        this->addresses[item.id] = item.address;
    }
    this->placement.on_engines(engines, steady_now());
}

void placement_component::on_engine(const engine_reported& event)
{
    // Ignores the inventory of another engine that now runs at this address.
    if (event.inventory.engine != event.engine)
        return;
    this->placement.on_inventory(event.inventory, event.load.tokens_per_s,
                                 event.requested, steady_now());
}

void placement_component::on_engine_unreachable(const engine_unreachable& event)
{
    this->placement.on_engine_unreachable(event.engine);
}

void placement_component::on_tick(state::time_point now)
{
    this->placement.on_tick(
        now, this->demand.forecast(now, this->peer_status.serving_nodes()));
    this->is_holder.set(this->placement.lease().is_holder() ? 1 : 0);
    this->open_orders.set(
        static_cast<std::int64_t>(this->placement.orders_in_progress()));
}

void placement_component::contribute(state::node_view& view)
{
    if (!view.current_settings || view.current_settings == this->settings)
        return;
    this->settings = view.current_settings;
    this->placement.on_settings(view.current_settings);
}

void placement_component::append(std::string data)
{
    this->platform.append(
        stream_name, std::move(data),
        [this](const append_result& result)
        { this->placement.on_append_outcome(end_of(result), steady_now()); });
}

void placement_component::send(const std::string& engine,
                               const protocol::engine_order& order)
{
    this->events.record("engine_order", {{"order", order.order_id},
                                         {"engine", engine},
                                         {"step", std::string(to_string(order.step))},
                                         {"model", order.model},
                                         {"version", order.version},
                                         {"adapter", order.adapter},
                                         {"fence", std::to_string(order.fence)}});
    this->dispatcher.send(this->addresses[engine], order,
                          [this, id = order.order_id](coordination::send_outcome end)
                          { this->placement.on_send_outcome(id, end, steady_now()); });
}

void placement_component::record_event(std::string kind,
                                       std::vector<state::event_field> fields)
{
    this->events.record(std::move(kind), std::move(fields));
}

void placement_component::apply(const transport::log_record& record,
                                state::time_point now)
{
    try
    {
        this->placement.on_record(now, record.offset, record.data);
    }
    catch (const error& failure)
    {
        this->skipped_records.add();
        state::log_event(state::log_level::warning, "record_skipped")
            .field("stream", stream_name)
            .field("offset", record.offset)
            .field("error", failure.what());
    }
}

} // namespace pomelorouter::app
