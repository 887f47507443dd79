#pragma once

#include <cstddef>
#include <vector>

namespace pomelorouter::coordination
{

/// An engine that could serve a request, as known from reports.
struct queue_option
{
    /// Expected queue, and other costs in the same unit.
    double cost_ms = 0.0;
    /// Engine time of the prompts that other gateways send to it, per time.
    double peer_inflow = 0.0;
};

struct queue_forecast
{
    /// Index of the chosen engine.
    std::size_t chosen = 0;
    /// Expected change of its queue since the reports.
    double change_ms = 0.0;
};

/// Age of the load figures of other gateways: two reports within an availability zone,
/// and one more between zones.
inline constexpr double load_report_age_ms = 400.0;

/// Chooses one of `options`, which must not be empty, for a prompt that takes `work_ms`.
/// All gateways know the same old figures, so if each chose the engine with the shortest
/// queue, its queue would become the longest. Each engine is therefore chosen with the
/// probability with which the prompts that arrive until the figures are renewed level the
/// queues. `draw` is a random number in [0, 1).
queue_forecast choose_by_queue(const std::vector<queue_option>& options, double work_ms,
                               double draw);

} // namespace pomelorouter::coordination
