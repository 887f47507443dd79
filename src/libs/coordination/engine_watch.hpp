#pragma once

#include "coordination/order_ledger.hpp"
#include "coordination/placement.hpp"
#include "state/clock.hpp"
#include "state/fleet.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pomelorouter::coordination
{

/// An engine of the instance list.
struct listed_engine
{
    std::string id;
    std::string zone;
    bool leaving = false;
};

/// What this process has seen of an engine.
struct watched_engine
{
    std::string zone;
    bool listed = false;
    bool leaving = false;
    bool reachable = false;
    state::time_point unlisted_since{};
    /// When the inventory was asked for.
    state::time_point requested{};
    double tokens_per_s = 0.0;
    state::engine_inventory inventory;
    /// `engine_entry::changed` as last folded, and when it was folded.
    std::uint64_t changed = 0;
    state::time_point changed_at{};
    /// Epoch and base of the last report written about this engine.
    std::pair<std::uint64_t, std::uint64_t> reported{};
};

/// Keeps the inventories of the engines and compares them with the ledger.
class engine_watch
{
public:
    using engine_map = std::map<std::string, watched_engine, std::less<>>;

    void on_engines(const std::vector<listed_engine>& listed, const order_ledger& ledger,
                    state::time_point now);
    /// Returns whether the engine is listed.
    bool on_inventory(const state::engine_inventory& inventory, double tokens_per_s,
                      state::time_point requested);
    void on_unreachable(const std::string& engine);
    /// The ledger has moved on.
    void on_folded(const order_ledger& ledger, state::time_point now);

    engine_map& engines() { return this->entries; }
    const engine_map& engines() const { return this->entries; }
    /// Returns the engine, or null.
    const watched_engine* find(const std::string& engine) const;

    /// Whether the inventory is newer than all that the ledger says of the engine.
    static bool is_newer(const watched_engine& engine,
                         const protocol::engine_entry* entry);
    /// Whether the ledger has to learn of what the inventory shows. `epoch` is the
    /// fencing token that the engine may have to acknowledge.
    static bool must_report(const watched_engine& engine,
                            const protocol::engine_entry* entry, std::int64_t limit_bytes,
                            std::uint64_t epoch);
    /// The engine as placement sees it; not usable outside of its scope.
    static placement_engine make_engine(const std::string& id,
                                        const watched_engine& engine,
                                        const protocol::engine_entry* entry,
                                        const std::string& scope);

private:
    engine_map entries;
};

} // namespace pomelorouter::coordination
