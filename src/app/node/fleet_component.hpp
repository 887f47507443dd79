#pragma once

#include "app/node/control_component.hpp"
#include "app/node/control_loop.hpp"
#include "app/node/engine_poller.hpp"
#include "app/node/settings_component.hpp"
#include "state/event_log.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace pomelorouter::app
{

/// Tracks the backend servers and adds them to the snapshot.
class fleet_component : public control_component
{
public:
    fleet_component(const node_identity& identity, control_loop& loop,
                    engine_poller& poller, state::event_log& events);

    void on_instances(const instances_listed& event) override;
    void on_engine(const engine_reported& event) override;
    void on_engine_unreachable(const engine_unreachable& event) override;
    void contribute(state::node_view& view) override;

private:
    struct backend
    {
        state::instance instance;
        bool reachable = false;
        state::engine_inventory inventory;
        state::load_report load;
        state::time_point load_received{};
    };

    /// Whether this incarnation of the backend server is leaving, or was ever listed as
    /// leaving.
    bool is_leaving(const state::instance& item);
    state::backend_view make_view(const backend& item,
                                  const state::settings& settings) const;
    void contribute_engines(state::node_view& view) const;
    void contribute_services(state::node_view& view) const;

    const node_identity& identity;
    control_loop& loop;
    engine_poller& poller;
    state::event_log& events;
    std::map<std::string, backend> backends;
    /// Incarnation of each backend server that was listed as leaving, by id.
    std::map<std::string, std::uint64_t> leaving_incarnations;
    state::milliseconds poll_period{500};
};

} // namespace pomelorouter::app
