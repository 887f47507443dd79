#pragma once

#include "protocol/engine_api.hpp"
#include "state/fleet.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace pomelorouter::tools
{

/// Tracks the memory of an engine: resident models, orders and KV cache. Records an
/// overcommit without preventing it, because preventing it is the task of the system
/// under test. Performs no I/O.
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
        /// The order is a repetition, or was completed immediately.
        no_action,
        /// The caller must execute the order and then call `finish`.
        started,
    };

    /// Accepts an order. The bytes of a load count as used from now on.
    order_result accept_order(const protocol::engine_order& order);
    /// Completes an order for which `accept_order` returned `started`.
    void finish(const protocol::engine_order& order, bool succeeded);

    /// Adds KV cache bytes; a negative number frees them.
    void add_cache(std::int64_t bytes);
    void add_stats(boost::json::object& stats) const;

private:
    std::vector<state::resident_model>::iterator
    find(const protocol::engine_order& order);
    void set_status(const std::string& order_id, const std::string& status);
    /// Updates the high-water mark and counts an overcommit.
    void record_usage();

    state::engine_inventory current;
    std::int64_t cache_bytes = 0;
    std::int64_t high_water_bytes = 0;
    std::int64_t overcommits = 0;
    std::int64_t stale_orders = 0;
    std::int64_t orders_taken = 0;
    std::int64_t repeated_orders = 0;
};

} // namespace pomelorouter::tools
