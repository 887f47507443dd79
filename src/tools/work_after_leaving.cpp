#include "tools/work_after_leaving.hpp"

#include <boost/json/array.hpp>

#include <chrono>
#include <utility>

namespace pomelorouter::tools
{

void work_after_leaving::record_arrival(const fault_state& faults)
{
    if (faults.leaving == leaving_mode::no)
        return;
    const auto since = std::chrono::steady_clock::now() - faults.leaving_since;
    this->arrivals_ms.push_back(
        std::chrono::duration_cast<state::milliseconds>(since).count());
}

void work_after_leaving::add_stats(boost::json::object& stats) const
{
    boost::json::array list(this->arrivals_ms.begin(), this->arrivals_ms.end());
    stats["work_after_leaving_ms"] = std::move(list);
}

} // namespace pomelorouter::tools
