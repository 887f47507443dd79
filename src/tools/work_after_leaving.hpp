#pragma once

#include "state/clock.hpp"
#include "tools/fault_state.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <vector>

namespace pomelorouter::tools
{

/// Records new work that arrives after a backend server was told that it is leaving.
class work_after_leaving
{
public:
    /// Must be called for each new request; records it if the backend server is leaving.
    void record_arrival(const fault_state& faults);
    /// Adds the time from the notice to each arrival, in milliseconds.
    void add_stats(boost::json::object& stats) const;

private:
    std::vector<std::int64_t> arrivals_ms;
};

} // namespace pomelorouter::tools
