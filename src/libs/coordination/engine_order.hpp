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
    /// The intent has not yet been read back from the log.
    intended,
    /// The intent was valid when it was applied at its log offset; the order may be sent.
    confirmed,
    /// At least one attempt was started, so the engine may have received the order.
    sent,
    done,
    failed,
    /// The engine has not executed the order and never will.
    abandoned,
};

std::string_view to_string(order_stage stage);

/// State of one order of this node, from its intent to its outcome.
class engine_order
{
public:
    explicit engine_order(protocol::order_intent intent);
    ~engine_order();
    engine_order(engine_order&&) noexcept;
    engine_order& operator=(engine_order&&) noexcept;

    /// Records that the intent was applied at its log offset, and whether it was valid.
    void on_intent_applied(bool is_valid);
    /// Whether the order may be sent now. `held_epoch` is the epoch of the lease if this
    /// process holds it, otherwise 0.
    bool may_send(std::uint64_t held_epoch, state::time_point now) const;
    /// Records that an attempt starts. From now on the engine may have received the
    /// order.
    void on_sending();
    /// Records that an attempt has ended, with or without a response.
    void on_attempt_ended(state::time_point now, state::milliseconds retry_delay);
    /// Records that the engine rejected the fencing token; it never accepts this order.
    void on_stale_fence();
    /// Processes an inventory that was requested at `requested`. `margin` is the maximum
    /// time for which an order may remain in the network.
    void on_inventory(const state::engine_inventory& inventory,
                      state::time_point requested, std::uint64_t held_epoch,
                      state::milliseconds margin);
    /// Records that the instance list no longer contains the engine.
    void on_engine_gone(state::time_point now, state::milliseconds margin);
    /// Cancels the order because the lease is lost or the order is no longer safe. Has no
    /// effect if the order may have been sent.
    void withdraw();

    order_stage stage() const;
    bool is_ended() const;
    bool is_attempt_running() const { return this->attempt_running; }
    /// Returns the outcome to append, or nothing if the order has not ended or was never
    /// valid in the log.
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
