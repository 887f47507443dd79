#pragma once

#include "protocol/fleet_records.hpp"
#include "state/clock.hpp"
#include "state/fleet.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace pomelorouter::coordination
{

enum class order_stage
{
    /// The intent is on the way to the log or back.
    intended,
    /// The intent was valid at its own offset; the order may be sent.
    confirmed,
    /// The order may have reached the engine.
    sent,
    done,
    failed,
    /// The order was never carried out and will not be.
    abandoned,
};

std::string_view to_string(order_stage stage);

/// Follows one order of this node from its intent to its outcome.
class engine_order
{
public:
    explicit engine_order(protocol::order_intent intent);
    ~engine_order();
    engine_order(engine_order&&) noexcept;
    engine_order& operator=(engine_order&&) noexcept;

    /// The intent was folded at its own offset.
    void on_folded(bool is_valid);
    /// Whether the order may be sent now, given the epoch of the lease if it is shown as
    /// held by this process, else 0.
    bool may_send(std::uint64_t held_epoch, state::time_point now) const;
    /// An attempt begins. From here on the engine may have the order.
    void on_sending();
    /// An attempt has ended, with or without an answer.
    void on_attempt_ended(state::time_point now, state::milliseconds retry_delay);
    /// The engine refused the fencing token, so it will not accept this order any more.
    void on_stale_fence();
    /// An inventory that was asked for at `requested`. `margin` is how long bytes of an
    /// order may still be in the network.
    void on_inventory(const state::engine_inventory& inventory,
                      state::time_point requested, std::uint64_t held_epoch,
                      state::milliseconds margin);
    /// The instance list no longer has the engine.
    void on_engine_gone(state::time_point now, state::milliseconds margin);
    /// The order is not to be sent, because the lease is lost or the order would now do
    /// harm. Without effect if it may have been sent.
    void withdraw();

    order_stage stage() const;
    bool is_ended() const;
    bool is_attempt_running() const { return this->attempt_running; }
    /// The outcome to append, if the order is open in the ledger and has ended.
    std::optional<protocol::order_result> result() const;
    const protocol::order_intent& intent() const { return this->order; }

private:
    struct machine;

    protocol::order_intent order;
    bool was_valid = false;
    bool attempt_running = false;
    bool refused = false;
    state::time_point last_attempt_end{};
    state::time_point next_attempt{};
    std::unique_ptr<machine> states;
};

} // namespace pomelorouter::coordination
