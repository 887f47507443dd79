#pragma once

#include "caller.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace pomelorouter::bench
{

/// What the summary of a run is set in relation to.
struct run_context
{
    std::string name;
    std::int64_t engines = 1;
    /// Tokens a second that all engines together can make; 0 if not known.
    double capacity_tokens_per_s = 0.0;
    state::milliseconds duration{0};
};

/// Condenses the results of one run; times in microseconds, quantiles from a histogram
/// with logarithmic bins of less than one per cent.
boost::json::object summarize(const std::vector<request_result>& results,
                              const run_context& context);

/// Renders the summaries of several runs side by side as a table, with the ratio of each
/// figure to that of the first run.
std::string format_table(const std::vector<boost::json::object>& summaries);

} // namespace pomelorouter::bench
