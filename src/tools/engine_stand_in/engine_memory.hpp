#pragma once

#include "protocol/engine_api.hpp"
#include "state/fleet.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace pomelorouter::tools
{

/// Memory of an engine: resident models, orders and KV cache. Records an overcommit and
/// does not prevent it, because the system under test has to. No input or output.
class engine_memory
{
public:
    explicit engine_memory(state::engine_inventory initial);

    const state::engine_inventory& inventory() const { return this->current; }
    bool is_ready(const std::string& model, const std::string& version,
                  const std::string& adapter) const;

    enum class order_result
    {
        /// The fencing token is older than one seen before.
        stale,
        /// Known already, or done at once.
        settled,
        /// Has to be carried out, which takes time.
        started,
    };

    /// Takes an order; a load counts from now on.
    order_result take(const protocol::engine_order& order);
    /// Ends an order that was started.
    void finish(const protocol::engine_order& order, bool succeeded);

    void add_cache(std::int64_t bytes);
    void add_stats(boost::json::object& stats) const;

private:
    std::vector<state::resident_model>::iterator
    find(const protocol::engine_order& order);
    void set_status(const std::string& order_id, const std::string& status);
    void check();

    state::engine_inventory current;
    std::int64_t cache_bytes = 0;
    std::int64_t high_water_bytes = 0;
    std::int64_t violations = 0;
    std::int64_t stale_orders = 0;
    std::int64_t orders_taken = 0;
    std::int64_t repeated_orders = 0;
};

} // namespace pomelorouter::tools
