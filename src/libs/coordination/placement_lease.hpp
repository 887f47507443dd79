#pragma once

#include "protocol/fleet_records.hpp"
#include "state/clock.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace pomelorouter::coordination
{

/// Position of this node with regard to the placement lease of its scope.
enum class lease_position
{
    /// Another node or none holds the lease.
    follower,
    /// Its own claim has not yet been read back from the log.
    claiming,
    holder,
    /// It has lost the lease to another node, and its orders are being closed.
    lost,
};

std::string_view to_string(lease_position position);

struct lease_timing
{
    state::milliseconds renew{2000};
    state::milliseconds duration{8000};
};

/// Record that the node should append.
enum class lease_action
{
    none,
    claim,
    renew,
};

/// Decides when this node claims and renews the placement lease of one scope. The clock
/// affects only when it acts; the order of records in the log decides which claim is
/// valid.
class placement_lease
{
public:
    placement_lease(std::string node, std::uint64_t incarnation);
    ~placement_lease();
    placement_lease(const placement_lease&) = delete;
    placement_lease& operator=(const placement_lease&) = delete;

    void set_timing(const lease_timing& timing);
    /// Updates the lease after a page of the stream was applied. `has_record` is true if
    /// the page contained a claim, renewal or release of this scope.
    void on_page_applied(state::time_point now, const protocol::lease_state& lease,
                         bool has_record);
    /// Returns the record to append now. `rank` is this node's rank among the candidates;
    /// 0 claims first. A node that may not hold the lease (not ready, isolated, log
    /// unreachable) passes `may_hold` = false, and then neither claims nor renews.
    lease_action on_tick(state::time_point now, std::size_t rank, bool may_hold);
    /// Records that all orders this node issued as an earlier holder are closed.
    void on_orders_closed();

    lease_position position() const;
    /// Returns the epoch of the lease according to the log.
    std::uint64_t epoch() const { return this->current.epoch; }
    const protocol::lease_state& lease() const { return this->current; }
    bool is_holder() const { return this->position() == lease_position::holder; }

private:
    struct machine;

    bool is_own_lease() const;

    std::string node;
    std::uint64_t incarnation;
    lease_timing timing;
    protocol::lease_state current;
    /// Time of the last record of this lease, and of this node's last claim or renewal.
    state::time_point last_record{};
    state::time_point last_action{};
    bool was_read = false;
    std::unique_ptr<machine> states;
};

} // namespace pomelorouter::coordination
