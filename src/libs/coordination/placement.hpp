#pragma once

#include "coordination/order_ledger.hpp"
#include "state/clock.hpp"
#include "state/settings.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace pomelorouter::coordination
{

/// An engine as input of the placement plan.
struct placement_engine
{
    std::string id;
    std::string zone;
    /// Live, reachable and in the ledger.
    bool usable = false;
    bool leaving = false;
    /// Loads are not allowed yet; see `engine_entry::awaiting_fence`.
    bool awaiting_fence = false;
    std::int64_t limit_bytes = 0;
    /// Bytes of all models that are or may be resident; see
    /// `order_ledger::reserved_bytes`.
    std::map<model_key, std::int64_t> reserved;
    /// Models that the engine serves and for which no unload is open.
    std::set<model_key> ready;
    /// Models with an open load or unload order.
    std::set<model_key> loading;
    std::set<model_key> unloading;
    /// Models that the engine recently failed to load.
    std::set<model_key> failed;
    /// Throughput over all models; 0 if unknown.
    double tokens_per_s = 0.0;

    std::int64_t reserved_total() const;
};

/// Demand for a model or an adapter.
struct model_demand
{
    /// Forecast for the near future.
    double tokens_per_s = 0.0;
    std::int64_t waiting_callers = 0;
};

/// Identifies a demand; `adapter` is empty for the model itself.
struct demand_key
{
    std::string model;
    std::string adapter;

    bool operator==(const demand_key&) const = default;
    bool operator<(const demand_key& other) const
    {
        return std::tie(this->model, this->adapter) <
               std::tie(other.model, other.adapter);
    }
};

using demand_map = std::map<demand_key, model_demand>;

struct placement_input
{
    const state::settings* tree = nullptr;
    /// Sorted by id, so that equal inputs produce equal plans.
    std::vector<placement_engine> engines;
    demand_map demand;
};

/// One load or unload in a placement plan.
struct placement_step
{
    std::string engine;
    protocol::order_step step = protocol::order_step::load;
    model_key key;
    std::int64_t bytes = 0;

    bool operator==(const placement_step&) const = default;
};

/// Decides which engines load and unload which models. It keeps the number of copies that
/// recent demand required, so that a short drop in demand does not move models.
class placement
{
public:
    placement();

    /// Returns the loads and unloads to order now, the most urgent first. Together with
    /// the open orders they respect the memory limits of the engines and the load limits
    /// of the weight store. Returns nothing without settings.
    std::vector<placement_step> plan(state::time_point now, const placement_input& input);

private:
    friend class placement_round;

    struct copy_history
    {
        std::int64_t copies = 0;
        state::time_point needed_until{};
    };

    /// Token bucket that limits the rate of loads from the weight store.
    double load_bucket = 0.0;
    state::time_point last_plan{};
    bool has_planned = false;
    std::map<model_key, copy_history> copy_histories;
};

} // namespace pomelorouter::coordination
