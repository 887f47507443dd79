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

/// An engine as placement sees it.
struct placement_engine
{
    std::string id;
    std::string zone;
    /// Live, reachable and in the ledger.
    bool usable = false;
    bool leaving = false;
    /// Nothing may be loaded yet; see `engine_entry::awaiting_fence`.
    bool awaiting_fence = false;
    std::int64_t limit_bytes = 0;
    /// All that is resident or may be, with sizes; see `order_ledger::reserved_bytes`.
    std::map<model_key, std::int64_t> reserved;
    /// What the engine serves now and no open unload may take away.
    std::set<model_key> ready;
    /// What open orders are about.
    std::set<model_key> loading;
    std::set<model_key> unloading;
    /// What the engine failed to load a short time ago.
    std::set<model_key> failed;
    /// Tokens per second over all models; 0 if unknown.
    double tokens_per_s = 0.0;

    std::int64_t reserved_total() const;
};

/// Demand for a model or, with its name, an adapter.
struct model_demand
{
    /// Expected tokens per second a little ahead.
    double tokens_per_s = 0.0;
    std::int64_t waiting_callers = 0;
};

/// Model name and adapter name; the adapter is empty for the model itself.
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
    /// In order of id, so that equal inputs give equal plans.
    std::vector<placement_engine> engines;
    demand_map demand;
};

/// One change that placement wants.
struct placement_step
{
    std::string engine;
    protocol::order_step step = protocol::order_step::load;
    model_key key;
    std::int64_t bytes = 0;

    bool operator==(const placement_step&) const = default;
};

/// Decides which models are loaded and unloaded where. It remembers how many copies each
/// model had a use for, so that short lulls do not move models.
class placement
{
public:
    placement();

    /// Returns the changes to order now, the most urgent first. Together with the orders
    /// that are open they keep the memory rule and the limits of the weight store.
    std::vector<placement_step> plan(state::time_point now, const placement_input& input);

private:
    friend class placement_round;

    struct model_memory
    {
        std::int64_t copies = 0;
        state::time_point needed_until{};
    };

    /// Tokens in the bucket of the weight store's load rate.
    double load_tokens = 0.0;
    state::time_point last_plan{};
    bool has_planned = false;
    std::map<model_key, model_memory> memories;
};

} // namespace pomelorouter::coordination
