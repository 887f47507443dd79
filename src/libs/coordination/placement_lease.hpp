#pragma once

#include "protocol/fleet_records.hpp"
#include "state/clock.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace pomelorouter::coordination
{

/// Where this node stands with regard to the placement lease of its scope.
enum class lease_position
{
    /// Another node holds the lease, or nobody does.
    follower,
    /// Its own claim is on the way to the log or back.
    claiming,
    holder,
    /// It held the lease and was superseded; its orders are being closed.
    lost,
};

std::string_view to_string(lease_position position);

struct lease_timing
{
    state::milliseconds renew{2000};
    state::milliseconds duration{8000};
};

/// What the node should append.
enum class lease_action
{
    none,
    claim,
    renew,
};

/// Decides when this node claims and renews the placement lease of one scope. The clock
/// only affects when it acts: which claim is valid is decided by the log alone.
class placement_lease
{
public:
    placement_lease(std::string node, std::uint64_t incarnation);
    ~placement_lease();
    placement_lease(const placement_lease&) = delete;
    placement_lease& operator=(const placement_lease&) = delete;

    void set_timing(const lease_timing& timing);
    /// A page of the stream has been folded and the lease is now as given; `is_sign` says
    /// that the page had a claim, renewal or release of this scope.
    void on_folded(state::time_point now, const protocol::lease_state& lease,
                   bool is_sign);
    /// `rank` is this node's place among the candidates, 0 for the first. A node that may
    /// not hold the lease (not ready, isolated, log out of reach) passes `may_hold` =
    /// false: it neither claims nor renews.
    lease_action on_tick(state::time_point now, std::size_t rank, bool may_hold);
    /// All orders that this node gave as an earlier holder are closed.
    void on_orders_closed();

    lease_position position() const;
    /// Epoch of the lease as last folded.
    std::uint64_t epoch() const { return this->current.epoch; }
    const protocol::lease_state& lease() const { return this->current; }
    bool is_holder() const { return this->position() == lease_position::holder; }

private:
    struct machine;

    bool is_ours() const;

    std::string node;
    std::uint64_t incarnation;
    lease_timing timing;
    protocol::lease_state current;
    /// When the lease last showed a sign of life, and when this node last acted.
    state::time_point last_sign{};
    state::time_point last_action{};
    bool has_sign = false;
    std::unique_ptr<machine> states;
};

} // namespace pomelorouter::coordination
