#pragma once

#include "app/gateway/serving/gateway_state.hpp"
#include "coordination/engine_speed.hpp"
#include "state/counters.hpp"

#include <map>
#include <string>

namespace pomelorouter::app
{

/// Logs the learned speeds of engines when they change, and exports those of the service
/// with the most calls.
class engine_speed_report
{
public:
    explicit engine_speed_report(gateway_state& gateway);

    void update();

private:
    gateway_state& shared;
    state::counter& prompt_rate;
    state::counter& step_time;
    /// Speeds as logged last, by service.
    std::map<std::string, coordination::engine_pace, std::less<>> logged;
    state::time_point updated{};
};

} // namespace pomelorouter::app
