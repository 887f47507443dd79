#pragma once

#include "tools/fault_state.hpp"
#include "transport/http_server.hpp"

#include <boost/json/object.hpp>

#include <chrono>

namespace pomelorouter::tools
{

/// Handler of one kind of stand-in; the faults are set by the `fault_handler` around it.
class stand_in_handler : public transport::http_handler
{
public:
    /// Adds what was recorded to the answer to `GET /control/stats`.
    virtual void add_stats(boost::json::object& stats) const = 0;

    fault_state faults;

protected:
    /// A duration after the `slow` fault.
    template <typename Duration>
    Duration slowed(Duration duration) const
    {
        return std::chrono::duration_cast<Duration>(duration * this->faults.slow_factor);
    }
};

} // namespace pomelorouter::tools
