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

/// An engine from the list of instances.
struct listed_engine
{
    std::string id;
    std::string zone;
    bool leaving = false;
};

/// State of an engine as observed by this process.
struct watched_engine
{
    std::string zone;
    bool listed = false;
    bool leaving = false;
    bool reachable = false;
    state::time_point unlisted_since{};
    /// When the inventory was requested.
    state::time_point requested{};
    double tokens_per_s = 0.0;
    state::engine_inventory inventory;
    /// `engine_entry::changed` as last read from the ledger, and when it changed there.
    std::uint64_t changed = 0;
    state::time_point changed_at{};
    /// Epoch and base of the last report written for this engine.
    std::pair<std::uint64_t, std::uint64_t> reported{};
};

/// Tracks the inventories of the engines and compares them with the order ledger.
class engine_watch
{
public:
    using engine_map = std::map<std::string, watched_engine, std::less<>>;

    void on_engines(const std::vector<listed_engine>& listed, const order_ledger& ledger,
                    state::time_point now);
    /// Stores an inventory; returns false and ignores it if the engine is not listed.
    bool on_inventory(const state::engine_inventory& inventory, double tokens_per_s,
                      state::time_point requested);
    void on_unreachable(const std::string& engine);
    /// Notes which engines changed after records were applied to the ledger.
    void on_ledger_updated(const order_ledger& ledger, state::time_point now);

    engine_map& engines() { return this->entries; }
    const engine_map& engines() const { return this->entries; }
    /// Returns null if the engine is unknown.
    const watched_engine* find(const std::string& engine) const;

    /// Whether the inventory is newer than the last change of the engine in the ledger.
    static bool is_newer(const watched_engine& engine,
                         const protocol::engine_entry* entry);
    /// Whether the inventory differs from the ledger and must be reported to it. `epoch`
    /// is the fencing token that the engine may have to acknowledge.
    static bool must_report(const watched_engine& engine,
                            const protocol::engine_entry* entry, std::int64_t limit_bytes,
                            std::uint64_t epoch);
    /// Returns the input of placement for the engine; not usable in another scope.
    static placement_engine make_engine(const std::string& id,
                                        const watched_engine& engine,
                                        const protocol::engine_entry* entry,
                                        const std::string& scope);

private:
    engine_map entries;
};

} // namespace pomelorouter::coordination
