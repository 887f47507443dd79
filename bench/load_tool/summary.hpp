#pragma once

#include "caller.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace pomelorouter::bench
{

/// Properties of a run that its results do not contain.
struct run_context
{
    std::string name;
    std::int64_t engines = 1;
    /// Tokens per second that all engines together can generate; 0 if unknown.
    double capacity_tokens_per_s = 0.0;
    state::milliseconds duration{0};
};

/// Computes the counts and quantiles of one run. Times are in microseconds; the quantiles
/// come from a histogram with logarithmic bins, each less than one per cent wide.
boost::json::object summarize(const std::vector<request_result>& results,
                              const run_context& context);

/// Formats the summaries of several runs as a Markdown table with one column for each
/// run. Each cell has the value and, in parentheses, its ratio to the value of the first
/// run.
std::string format_table(const std::vector<boost::json::object>& summaries);

} // namespace pomelorouter::bench
