#pragma once

#include "tools/fault_state.hpp"
#include "transport/http_server.hpp"

#include <boost/json/object.hpp>

#include <chrono>

namespace pomelorouter::tools
{

/// Handler of one kind of stand-in. The `fault_handler` that wraps it sets `faults`.
class stand_in_handler : public transport::http_handler
{
public:
    /// Adds the statistics of the stand-in to the body of `GET /control/stats`.
    virtual void add_stats(boost::json::object& stats) const = 0;

    fault_state faults;

protected:
    /// Returns the duration multiplied by the factor of the `slow` fault.
    template <typename Duration>
    Duration apply_slowdown(Duration duration) const
    {
        return std::chrono::duration_cast<Duration>(duration * this->faults.slow_factor);
    }
};

} // namespace pomelorouter::tools
