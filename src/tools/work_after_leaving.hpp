#pragma once

#include "state/clock.hpp"
#include "tools/fault_state.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <vector>

namespace pomelorouter::tools
{

/// Records new work that arrives after a backend server was told that it leaves.
class work_after_leaving
{
public:
    /// Called for each new piece of work.
    void note(const fault_state& faults);
    /// Adds the milliseconds from being told to each arrival.
    void add_stats(boost::json::object& stats) const;

private:
    std::vector<std::int64_t> arrivals_ms;
};

} // namespace pomelorouter::tools
