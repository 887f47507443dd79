#pragma once

#include "coordination/replay_position.hpp"
#include "protocol/fleet_records.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace pomelorouter::coordination
{

/// Result of applying a record of the fleet stream; all but `applied` mean no effect.
enum class fleet_verdict
{
    applied,
    /// Duplicate of a record whose append was repeated because its response was lost.
    duplicate,
    stale_epoch,
    unknown_engine,
    /// The engine belongs to the lease of another scope or has another incarnation.
    wrong_engine,
    /// An order for the same model on this engine is open.
    order_conflict,
    /// The engine has not yet acknowledged the current fencing token.
    awaiting_fence,
    /// The reserved memory of the engine would exceed its limit.
    no_memory,
    /// The engine's entry has changed since the writer saw the engine.
    changed_meanwhile,
    unknown_order,
    /// The writer may not close this order.
    not_permitted,
};

std::string_view to_string(fleet_verdict verdict);

/// A record that was applied or rejected, and the verdict.
struct fleet_event
{
    std::uint64_t offset = 0;
    protocol::fleet_record record;
    fleet_verdict verdict = fleet_verdict::applied;
};

/// Identifies a model version or adapter in the memory of an engine.
struct model_key
{
    std::string model;
    std::string version;
    std::string adapter;

    bool operator==(const model_key&) const = default;
    bool operator<(const model_key& other) const
    {
        return std::tie(this->model, this->version, this->adapter) <
               std::tie(other.model, other.version, other.adapter);
    }
};

model_key key_of(const state::resident_model& item);
model_key key_of(const protocol::order_intent& order);

/// Computes leases, open orders and the resident models of each engine from the fleet
/// stream. All nodes that have read the same prefix of the stream have the same state.
class order_ledger
{
public:
    using engine_map = std::map<std::string, protocol::engine_entry, std::less<>>;

    /// See `replicated_settings::begin_at`.
    void begin_at(std::uint64_t first) { this->position.begin_at(first); }
    /// Applies one record. Returns nothing while the state is unknown or if the state
    /// already covers the offset. Throws `state::error` if the record cannot be parsed.
    std::optional<fleet_event> apply(std::uint64_t offset, std::string_view data);
    protocol::fleet_snapshot snapshot() const;

    bool is_known() const { return this->position.is_known(); }
    std::uint64_t next_offset() const { return this->position.next_offset(); }
    /// Returns the lease of a scope; its epoch is 0 if it was never claimed.
    protocol::lease_state lease(std::string_view scope) const;
    const engine_map& engines() const { return this->engine_entries; }
    /// Returns the engine's entry, or null.
    const protocol::engine_entry* find_engine(std::string_view engine) const;
    /// Returns the open order, or null.
    const protocol::order_intent* find_open(std::string_view engine,
                                            std::string_view order_id) const;
    /// Returns the last applied sequence number of a process, or 0.
    std::uint64_t applied_sequence(const std::string& writer,
                                   std::uint64_t incarnation) const;

    /// Returns the maximum number of bytes that the engine may use while its open orders
    /// are executed, including the load `extra` if it is given.
    static std::int64_t reserved_bytes(const protocol::engine_entry& entry,
                                       const protocol::order_intent* extra = nullptr);

private:
    using writer_key = std::pair<std::string, std::uint64_t>;
    struct writer_entry
    {
        std::uint64_t sequence = 0;
        std::uint64_t offset = 0;
    };

    fleet_event apply_known(std::uint64_t offset, std::string_view data);
    void look_for_snapshot(std::uint64_t offset, std::string_view data);
    void adopt(const protocol::fleet_snapshot& snapshot);
    bool is_duplicate(const protocol::record_header& header, std::uint64_t offset);
    void forget_old_writers();
    /// Returns the scope whose lease has this epoch, or null.
    const protocol::lease_state* find_epoch(std::uint64_t epoch) const;

    fleet_verdict apply_record(const protocol::lease_claim& record, std::uint64_t offset);
    fleet_verdict apply_record(const protocol::lease_renew& record, std::uint64_t offset);
    fleet_verdict apply_record(const protocol::lease_release& record,
                               std::uint64_t offset);
    fleet_verdict apply_record(const protocol::order_intent& record,
                               std::uint64_t offset);
    fleet_verdict apply_record(const protocol::order_outcome& record,
                               std::uint64_t offset);
    fleet_verdict apply_record(const protocol::engine_seen& record, std::uint64_t offset);
    fleet_verdict apply_record(const protocol::engine_gone& record, std::uint64_t offset);
    fleet_verdict apply_record(const protocol::fleet_snapshot& record,
                               std::uint64_t offset);
    bool may_close(const protocol::order_outcome& record,
                   const protocol::order_intent& order,
                   const protocol::engine_entry& entry) const;

    replay_position position;
    std::map<std::string, protocol::lease_state, std::less<>> leases;
    engine_map engine_entries;
    std::map<writer_key, writer_entry> writers;
};

} // namespace pomelorouter::coordination
