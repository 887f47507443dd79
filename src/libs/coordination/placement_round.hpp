#pragma once

#include "coordination/placement.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pomelorouter::coordination
{

/// One run of `placement::plan`. It applies each step to its own copy of the engines, so
/// that later steps account for the memory that earlier ones use.
class placement_round
{
public:
    placement_round(placement& owner, state::time_point now,
                    const placement_input& input);

    std::vector<placement_step> run();

private:
    /// A model version or adapter that at least one service offers.
    struct offer
    {
        model_key key;
        std::int64_t bytes = 0;
        std::int64_t min_copies = 1;
        std::int64_t max_copies = 1;
        /// Number of copies that the demand requires, within the limits above.
        std::int64_t desired = 1;
        std::vector<std::string> places;
        model_demand demand;
    };

    /// Reason for a load, the most urgent first. A less urgent copy may be unloaded for
    /// it.
    enum class load_reason
    {
        /// The first copy of a model.
        reachability,
        minimum,
        demand,
    };

    void collect_offers();
    void add_offer(const model_key& key, std::int64_t bytes,
                   const state::attribute_values& attributes,
                   const std::vector<std::string>& places);
    void set_desired();
    void refill_store_budget();
    bool take_store_budget(const offer& item);
    bool has_store_budget(const offer& item) const;

    void add_missing_copies(load_reason reason);
    static std::int64_t target_copies(const offer& item, load_reason reason);
    void add_copy(const offer& item, load_reason reason);
    void unload_replaced_versions();
    void unload_not_offered();

    bool is_allowed(const offer& item, const placement_engine& engine) const;
    bool can_host(const offer& item, const placement_engine& engine) const;
    placement_engine* choose_target(const offer& item, std::int64_t free_at_least);
    /// Unloads models that are not needed on one engine, so that the offer fits there
    /// once the unloads have finished.
    void make_room(const offer& item, load_reason reason);
    std::vector<model_key> eviction_candidates(const offer& item,
                                               const placement_engine& engine,
                                               load_reason reason) const;
    bool may_unload(const model_key& key, const placement_engine& engine,
                    load_reason reason) const;
    /// Whether the engine serves a version of the model that an adapter needs.
    bool has_base(const model_key& adapter, const placement_engine& engine) const;
    /// Whether the engine can serve the model or adapter.
    bool serves(const model_key& key, const placement_engine& engine) const;
    /// Whether an offered adapter that only this engine serves needs the model.
    bool has_needed_adapter(const model_key& key, const placement_engine& engine) const;
    /// Returns the free memory that is not reserved for loads that wait for unloads.
    std::int64_t free_bytes(const placement_engine& engine) const;
    std::int64_t free_after_unloads(const placement_engine& engine) const;
    bool is_replaced(const model_key& key) const;

    std::int64_t ready_copies(const model_key& key) const;
    std::int64_t planned_copies(const model_key& key) const;
    /// Returns the planned copies and those whose load waits for an unload.
    std::int64_t expected_copies(const model_key& key) const;
    /// Reserves memory that unloads will free on the engine for a later load.
    void reserve_for_load(const placement_engine& engine, const offer& item);
    std::int64_t copies_in_zone(const model_key& key, const std::string& zone) const;
    void load(placement_engine& engine, const offer& item);
    void unload(placement_engine& engine, const model_key& key);

    placement& planner;
    state::time_point now;
    const state::settings& tree;
    const demand_map& demand;
    std::vector<placement_engine> engines;
    std::map<model_key, offer> offers;
    std::vector<placement_step> steps;
    /// Bytes per engine that are reserved for loads that wait for unloads there.
    std::map<std::string, std::int64_t> reserved_for_loads;
    std::map<model_key, std::int64_t> waiting_copies;
    std::int64_t model_loads_open = 0;
    std::int64_t adapter_loads_open = 0;
};

} // namespace pomelorouter::coordination
