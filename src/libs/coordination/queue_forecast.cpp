#include "coordination/queue_forecast.hpp"

#include <algorithm>
#include <numeric>

namespace pomelorouter::coordination
{

queue_forecast choose_by_queue(const std::vector<queue_option>& options, double work_ms,
                               double draw)
{
    double arriving_ms = 0.0;
    for (const queue_option& option : options)
        arriving_ms += option.peer_inflow * load_report_age_ms;
    std::vector<std::size_t> order(options.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    std::sort(order.begin(), order.end(),
              [&options](std::size_t left, std::size_t right)
              { return options[left].cost_ms < options[right].cost_ms; });
    // The level that the arriving work reaches when it fills the shortest queues first.
    const double filling_ms = arriving_ms > 0.0 ? std::max(arriving_ms, work_ms) : 0.0;
    double sum_ms = filling_ms;
    double level_ms = options[order.front()].cost_ms;
    std::size_t filled = 0;
    while (filled < order.size() &&
           (filled == 0 || options[order[filled]].cost_ms < level_ms))
    {
        sum_ms += options[order[filled]].cost_ms;
        ++filled;
        level_ms = sum_ms / static_cast<double>(filled);
    }
    queue_forecast result;
    double left_ms = draw * filling_ms;
    for (std::size_t i = 0; i < filled; ++i)
    {
        result.chosen = order[i];
        left_ms -= level_ms - options[order[i]].cost_ms;
        if (left_ms < 0.0)
            break;
    }
    if (arriving_ms > 0.0)
    {
        // A busy engine completes work meanwhile.
        result.change_ms = level_ms - options[result.chosen].cost_ms - load_report_age_ms;
    }
    return result;
}

} // namespace pomelorouter::coordination
