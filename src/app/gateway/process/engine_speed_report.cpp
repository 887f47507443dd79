#include "app/gateway/process/engine_speed_report.hpp"

#include "state/log.hpp"

#include <cmath>

namespace pomelorouter::app
{

using coordination::engine_pace;
using state::now;

namespace
{

constexpr state::milliseconds min_interval{1000};
/// Relative change from which on a speed is logged again.
constexpr double min_change = 0.1;
constexpr double per_s = 1000.0;
constexpr double us_per_ms = 1000.0;

bool differs(double left, double right)
{
    return std::abs(left - right) > min_change * std::abs(right);
}

bool differs(const engine_pace& left, const engine_pace& right)
{
    return differs(left.prompt_tokens_per_ms, right.prompt_tokens_per_ms) ||
           differs(left.step_ms, right.step_ms);
}

std::int64_t rounded(double value)
{
    return std::llround(value);
}

} // namespace

engine_speed_report::engine_speed_report(gateway_state& gateway)
    : shared(gateway),
      prompt_rate(gateway.counters.gauge(
          "engine_prompt_tokens_per_s",
          "prompt tokens that an engine processes per second, as learned for the service "
          "with the most calls")),
      step_time(gateway.counters.gauge(
          "engine_step_us",
          "microseconds per output token of a stream that runs alone, as learned for the "
          "service with the most calls"))
{
}

void engine_speed_report::update()
{
    if (!this->shared.routes || now() - this->updated < min_interval)
        return;
    this->updated = now();
    double most_samples = -1.0;
    for (const state::gateway_service& service : this->shared.routes->config().services)
    {
        if (!service.engine)
            continue;
        const engine_pace pace = this->shared.chooser.speeds().of(now(), service.name);
        if (pace.samples > most_samples)
        {
            most_samples = pace.samples;
            this->prompt_rate.set(rounded(pace.prompt_tokens_per_ms * per_s));
            this->step_time.set(rounded(pace.step_ms * us_per_ms));
        }
        engine_pace& before = this->logged[service.name];
        if (!differs(pace, before))
            continue;
        before = pace;
        state::log_event(state::log_level::info, "engine_speed")
            .field("service", service.name)
            .field("prompt_tokens_per_s", rounded(pace.prompt_tokens_per_ms * per_s))
            .field("first_step_us", rounded(pace.first_step_ms * us_per_ms))
            .field("step_us", rounded(pace.step_ms * us_per_ms))
            .field("step_us_per_request", rounded(pace.step_ms_per_request * us_per_ms))
            .field("calls", rounded(pace.samples));
    }
}

} // namespace pomelorouter::app
