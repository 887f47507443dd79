#include "engine_memory.hpp"

#include <algorithm>
#include <utility>

namespace pomelorouter::tools
{

namespace
{

// Number of orders that the inventory lists; beyond it the oldest one is dropped.
constexpr std::size_t max_listed_orders = 1024;

} // namespace

engine_memory::engine_memory(state::engine_inventory initial)
    : current(std::move(initial))
{
    for (const state::resident_model& item : this->current.resident)
        this->current.used_bytes += item.bytes;
    this->record_usage();
}

bool engine_memory::is_ready(const std::string& model, const std::string& version,
                             const std::string& adapter) const
{
    const auto holds = [&](const std::string& wanted_adapter)
    {
        return std::any_of(this->current.resident.begin(), this->current.resident.end(),
                           [&](const state::resident_model& item)
                           {
                               return item.ready && item.model == model &&
                                      (version.empty() || item.version == version) &&
                                      item.adapter == wanted_adapter;
                           });
    };
    return holds("") && (adapter.empty() || holds(adapter));
}

engine_memory::order_result
engine_memory::accept_order(const protocol::engine_order& order)
{
    if (this->current.checks_fence && order.fence < this->current.fence)
    {
        ++this->stale_orders;
        return order_result::stale;
    }
    if (this->current.checks_fence)
        this->current.fence = order.fence;
    const bool known =
        std::any_of(this->current.orders.begin(), this->current.orders.end(),
                    [&](const auto& item) { return item.order_id == order.order_id; });
    if (known)
    {
        ++this->repeated_orders;
        return order_result::no_action;
    }
    ++this->orders_taken;
    if (order.step == protocol::order_step::set_role)
    {
        this->current.role = order.role;
        this->set_status(order.order_id, "done");
        return order_result::no_action;
    }
    const auto found = this->find(order);
    const bool is_resident = found != this->current.resident.end();
    if (order.step == protocol::order_step::load && !is_resident)
    {
        this->current.resident.push_back(
            {order.model, order.version, order.adapter, order.bytes, false});
        this->current.used_bytes += order.bytes;
        this->record_usage();
    }
    else if (order.step == protocol::order_step::load || !is_resident)
    {
        this->set_status(order.order_id, "done");
        return order_result::no_action;
    }
    else
    {
        // A model that is being unloaded serves no new requests; its bytes still count.
        found->ready = false;
    }
    this->set_status(order.order_id, "running");
    return order_result::started;
}

void engine_memory::finish(const protocol::engine_order& order, bool succeeded)
{
    const auto found = this->find(order);
    const bool loaded = order.step == protocol::order_step::load && succeeded;
    if (found != this->current.resident.end())
    {
        if (loaded)
        {
            found->ready = true;
        }
        else
        {
            this->current.used_bytes -= found->bytes;
            this->current.resident.erase(found);
        }
    }
    this->set_status(order.order_id, succeeded ? "done" : "failed");
}

std::vector<state::resident_model>::iterator
engine_memory::find(const protocol::engine_order& order)
{
    return std::find_if(this->current.resident.begin(), this->current.resident.end(),
                        [&](const state::resident_model& item)
                        {
                            return item.model == order.model &&
                                   item.version == order.version &&
                                   item.adapter == order.adapter;
                        });
}

void engine_memory::set_status(const std::string& order_id, const std::string& status)
{
    for (auto& item : this->current.orders)
    {
        if (item.order_id == order_id)
        {
            item.status = status;
            return;
        }
    }
    this->current.orders.push_back({order_id, status});
    if (this->current.orders.size() > max_listed_orders)
        this->current.orders.erase(this->current.orders.begin());
}

void engine_memory::add_cache(std::int64_t bytes)
{
    this->cache_bytes += bytes;
    if (bytes > 0)
        this->record_usage();
}

void engine_memory::record_usage()
{
    const std::int64_t total = this->current.used_bytes + this->cache_bytes;
    this->high_water_bytes = std::max(this->high_water_bytes, total);
    if (total > this->current.capacity_bytes)
        ++this->overcommits;
}

void engine_memory::add_stats(boost::json::object& stats) const
{
    stats["capacity_bytes"] = this->current.capacity_bytes;
    stats["used_bytes"] = this->current.used_bytes;
    stats["high_water_bytes"] = this->high_water_bytes;
    stats["memory_violations"] = this->overcommits;
    stats["orders_taken"] = this->orders_taken;
    stats["repeated_orders"] = this->repeated_orders;
    stats["stale_orders"] = this->stale_orders;
}

} // namespace pomelorouter::tools
