#pragma once

#include "app/node/control_component.hpp"
#include "app/node/control_loop.hpp"
#include "app/node/demand_tracker.hpp"
#include "app/node/order_dispatcher.hpp"
#include "app/node/platform_client.hpp"
#include "app/node/settings_component.hpp"
#include "coordination/placement_agent.hpp"
#include "state/counters.hpp"
#include "state/event_log.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pomelorouter::app
{

/// Connects the placement agent to the log, the engines and the instance list.
class placement_component : public control_component, private coordination::placement_port
{
public:
    /// `peers` must outlive the component.
    placement_component(const node_identity& identity,
                        const coordination::peer_status& peers, platform_port& platform,
                        order_port& orders, demand_tracker& demand,
                        state::event_log& events, state::counter_registry& counters);

    /// Starts reading the fleet stream.
    void start();
    const coordination::placement_agent& agent() const { return this->placement; }

    void on_page(const stream_page& event) override;
    void on_truncated(const stream_truncated& event) override;
    void on_instances(const instances_listed& event) override;
    void on_engine(const engine_reported& event) override;
    void on_engine_unreachable(const engine_unreachable& event) override;
    void on_tick(state::time_point now) override;
    void contribute(state::node_view& view) override;

private:
    void append(std::string data) override;
    void send(const std::string& engine, const protocol::engine_order& order) override;
    void record_event(std::string kind, std::vector<state::event_field> fields) override;
    void apply(const transport::log_record& record, state::time_point now);

    const coordination::peer_status& peer_status;
    platform_port& platform;
    order_port& dispatcher;
    demand_tracker& demand;
    state::event_log& events;
    state::counter& skipped_records;
    state::counter& is_holder;
    state::counter& open_orders;
    coordination::placement_agent placement;
    std::shared_ptr<const state::settings> settings;
    std::map<std::string, std::string> addresses;
    bool has_read_page = false;
};

} // namespace pomelorouter::app
