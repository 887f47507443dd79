#pragma once

#include "coordination/placement.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pomelorouter::coordination
{

/// One run of `placement::plan`: works on a copy of the engines and applies each step to
/// it, so that later steps see the memory that earlier ones take.
class placement_round
{
public:
    placement_round(placement& owner, state::time_point now,
                    const placement_input& input);

    std::vector<placement_step> run();

private:
    /// A model version or adapter that a service offers.
    struct offer
    {
        model_key key;
        std::int64_t bytes = 0;
        std::int64_t min_copies = 1;
        std::int64_t max_copies = 1;
        /// Copies that demand has a use for, within the limits above.
        std::int64_t desired = 1;
        std::vector<std::string> places;
        model_demand demand;
    };

    /// What a load is for, in order of urgency; a less urgent use gives way.
    enum class need
    {
        /// The only copy of a model.
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

    void restore(need purpose);
    static std::int64_t goal(const offer& item, need purpose);
    void add_copy(const offer& item, need purpose);
    void unload_replaced_versions();
    void unload_not_offered();

    bool is_allowed(const offer& item, const placement_engine& engine) const;
    bool can_host(const offer& item, const placement_engine& engine) const;
    placement_engine* choose_target(const offer& item, std::int64_t free_at_least);
    /// Unloads what can be spared on one engine until the offer fits there later.
    void make_room(const offer& item, need purpose);
    std::vector<model_key> victims(const offer& item, const placement_engine& engine,
                                   need purpose) const;
    bool may_unload(const model_key& key, const placement_engine& engine,
                    need purpose) const;
    /// Whether the engine has the model that an adapter needs.
    bool has_base(const model_key& adapter, const placement_engine& engine) const;
    /// Whether the engine can serve the model or adapter.
    bool serves(const model_key& key, const placement_engine& engine) const;
    /// Whether an adapter that only this engine serves needs the model.
    bool has_needed_adapter(const model_key& key, const placement_engine& engine) const;
    /// Free memory that is not promised to a load waiting for an unload.
    std::int64_t free_bytes(const placement_engine& engine) const;
    std::int64_t free_after_unloads(const placement_engine& engine) const;
    bool is_replaced(const model_key& key) const;

    std::int64_t ready_copies(const model_key& key) const;
    std::int64_t planned_copies(const model_key& key) const;
    /// Planned copies and those that wait for an unload.
    std::int64_t expected_copies(const model_key& key) const;
    /// Keeps memory that unloads will free on the engine for a later load.
    void promise(const placement_engine& engine, const offer& item);
    std::int64_t copies_in_zone(const model_key& key, const std::string& zone) const;
    void load(placement_engine& engine, const offer& item);
    void unload(placement_engine& engine, const model_key& key);

    placement& memory;
    state::time_point now;
    const state::settings& tree;
    const demand_map& demand;
    std::vector<placement_engine> engines;
    std::map<model_key, offer> offers;
    std::vector<placement_step> steps;
    /// Memory per engine for loads that wait for unloads there.
    std::map<std::string, std::int64_t> promised;
    std::map<model_key, std::int64_t> promised_copies;
    std::int64_t model_loads_open = 0;
    std::int64_t adapter_loads_open = 0;
};

} // namespace pomelorouter::coordination
