#pragma once

#include "protocol/engine_api.hpp"
#include "protocol/record_header.hpp"
#include "state/fleet.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pomelorouter::protocol
{

/// Claims the placement lease of a scope. Valid if `previous_epoch` is the current epoch.
/// The new epoch is the record's offset plus one, so that 0 can mean that there is no
/// holder.
struct lease_claim
{
    record_header header;
    std::string scope;
    std::uint64_t previous_epoch = 0;
};

/// Renews the lease of the holder of an epoch.
struct lease_renew
{
    record_header header;
    std::string scope;
    std::uint64_t epoch = 0;
};

/// Ends an epoch, so that another node may claim the lease at once.
struct lease_release
{
    record_header header;
    std::string scope;
    std::uint64_t epoch = 0;
};

/// Announces an order. The writer may send the order only if the record is valid at its
/// own offset.
struct order_intent
{
    record_header header;
    std::string order_id;
    std::uint64_t epoch = 0;
    std::string engine;
    std::uint64_t engine_incarnation = 0;
    order_step step = order_step::load;
    std::string model;
    std::string version;
    /// Empty for the model itself.
    std::string adapter;
    /// Size of the model or adapter that the engine loads or unloads.
    std::int64_t bytes = 0;
    /// Only for `set_role`.
    std::string role;
};

enum class order_result
{
    done,
    failed,
    /// The engine has not received the order and will not receive it.
    not_sent,
};

std::string_view to_string(order_result result);

/// Reason why the writer of an outcome is allowed to close the order.
enum class outcome_basis
{
    /// The writer of the intent closes it.
    author,
    /// The engine rejects older fencing tokens and has acknowledged the writer's epoch.
    fence,
    /// The process that wrote the intent is known to have terminated.
    author_dead,
};

std::string_view to_string(outcome_basis basis);

/// Closes an order.
struct order_outcome
{
    record_header header;
    std::string order_id;
    order_result result = order_result::done;
    outcome_basis basis = outcome_basis::author;
    /// Epoch of the writer; not required from the author of the intent.
    std::uint64_t epoch = 0;
};

/// Inventory of an engine as the lease holder read it. The memory limit is checked
/// against this record and the outcomes after it, never against a node's local view.
struct engine_seen
{
    record_header header;
    std::uint64_t epoch = 0;
    std::string engine;
    std::uint64_t engine_incarnation = 0;
    /// Offset plus one of the last change to this engine's ledger entry that the writer
    /// had applied before it requested the inventory; 0 for an engine not in the ledger.
    std::uint64_t base = 0;
    bool checks_fence = false;
    std::uint64_t fence = 0;
    /// Memory for models: capacity without the KV cache reserve.
    std::int64_t limit_bytes = 0;
    std::vector<state::resident_model> resident;
};

/// Removes an engine that is no longer in the instance list. Valid if the engine has no
/// open order.
struct engine_gone
{
    record_header header;
    std::uint64_t epoch = 0;
    std::string engine;
};

/// Holder of the placement lease of a scope.
struct lease_state
{
    std::string scope;
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;
    /// False after a release; the epoch is kept because epochs must increase.
    bool held = false;

    bool operator==(const lease_state&) const = default;
};

/// Ledger entry of an engine: its memory contents and open orders.
struct engine_entry
{
    std::string engine;
    std::uint64_t incarnation = 0;
    std::string scope;
    /// Offset of the last record that changed this entry, plus one.
    std::uint64_t changed = 0;
    bool checks_fence = false;
    /// Set while a new incarnation has not acknowledged the current epoch. It could still
    /// accept an order of an older epoch, so nothing is loaded on it.
    bool awaiting_fence = false;
    std::int64_t limit_bytes = 0;
    std::vector<state::resident_model> resident;
    std::vector<order_intent> open_orders;
};

/// Sequence number and offset of the last applied record of a process.
struct writer_position
{
    std::string writer;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t offset = 0;
};

/// The state after applying all records up to and including the offset `upto`.
struct fleet_snapshot
{
    record_header header;
    std::uint64_t upto = 0;
    std::vector<lease_state> leases;
    std::vector<engine_entry> engines;
    std::vector<writer_position> writers;
};

using fleet_record =
    std::variant<lease_claim, lease_renew, lease_release, order_intent, order_outcome,
                 engine_seen, engine_gone, fleet_snapshot>;

std::string format_fleet_record(const fleet_record& record);
/// Parses a record of the fleet stream. Throws `state::error` if `data` is not one.
fleet_record parse_fleet_record(std::string_view data);
const record_header& header_of(const fleet_record& record);
record_header& header_of(fleet_record& record);

} // namespace pomelorouter::protocol
