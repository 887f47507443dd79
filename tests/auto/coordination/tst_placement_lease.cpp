#include "coordination/engine_order.hpp"
#include "coordination/placement_lease.hpp"

#include <doctest/doctest.h>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::engine_order;
using coordination::lease_action;
using coordination::lease_position;
using coordination::order_stage;
using state::milliseconds;

protocol::lease_state lease_of(const std::string& holder, std::uint64_t epoch)
{
    return {"r", holder, 1, epoch, true};
}

engine_order confirmed_order()
{
    protocol::order_intent intent;
    intent.order_id = "o";
    intent.epoch = 5;
    engine_order order(intent);
    order.on_intent_applied(true);
    return order;
}

state::engine_inventory inventory_with(const std::string& status)
{
    state::engine_inventory inventory;
    if (!status.empty())
        inventory.orders.push_back({"o", status});
    return inventory;
}

} // namespace

// Guards against a claim while the holder renews its lease, and against a node that acts
// as the holder without a valid claim in the log.
TEST_CASE("a node claims an expired lease, and the log decides who holds it")
{
    coordination::placement_lease lease("a", 1);
    state::time_point now{};
    CHECK(lease.on_tick(now, 0, true) == lease_action::none);
    lease.on_page_applied(now, lease_of("b", 3), true);
    now += milliseconds(7900);
    CHECK(lease.on_tick(now, 0, true) == lease_action::none);
    lease.on_page_applied(now, lease_of("b", 3), true);
    now += milliseconds(8000);
    CHECK(lease.on_tick(now, 1, true) == lease_action::none);
    CHECK(lease.on_tick(now, 0, false) == lease_action::none);
    CHECK(lease.on_tick(now, 0, true) == lease_action::claim);
    CHECK(lease.position() == lease_position::claiming);
    CHECK_FALSE(lease.is_holder());
    lease.on_page_applied(now, lease_of("a", 9), true);
    CHECK(lease.is_holder());
    CHECK(lease.epoch() == 9);
    now += milliseconds(2000);
    CHECK(lease.on_tick(now, 0, true) == lease_action::renew);
    lease.on_page_applied(now, lease_of("c", 12), true);
    CHECK(lease.position() == lease_position::lost);
    lease.on_orders_closed();
    CHECK(lease.position() == lease_position::follower);
}

// Guards against a restarted process that acts as the holder of its predecessor's lease.
TEST_CASE("a process does not hold the lease of its earlier incarnation")
{
    coordination::placement_lease lease("a", 2);
    lease.on_page_applied({}, lease_of("a", 3), true);
    CHECK(lease.position() == lease_position::follower);
}

// Guards against an order that is sent before the log confirms it or after the lease is
// lost.
TEST_CASE("an order may be sent only once it is confirmed and while its epoch is held")
{
    engine_order invalid{protocol::order_intent{}};
    CHECK_FALSE(invalid.may_send(0, {}));
    invalid.on_intent_applied(false);
    CHECK(invalid.stage() == order_stage::abandoned);
    CHECK_FALSE(invalid.result().has_value());

    engine_order order = confirmed_order();
    CHECK(order.stage() == order_stage::confirmed);
    CHECK_FALSE(order.may_send(0, {}));
    CHECK_FALSE(order.may_send(6, {}));
    CHECK(order.may_send(5, {}));
    order.withdraw();
    CHECK(order.result() == protocol::order_result::not_sent);
    CHECK_FALSE(order.may_send(5, {}));
}

// Guards against an order that is reported as not sent while it may still arrive.
TEST_CASE("the inventory decides the outcome of an order whose response was lost")
{
    const milliseconds margin(1000);
    const state::time_point start{};
    engine_order order = confirmed_order();
    order.on_sending();
    CHECK_FALSE(order.may_send(5, start));
    order.on_attempt_ended(start, milliseconds(100));
    order.withdraw();
    order.on_inventory(inventory_with(""), start + milliseconds(5000), 5, margin);
    CHECK(order.stage() == order_stage::sent);
    CHECK(order.may_send(5, start + milliseconds(100)));
    order.on_inventory(inventory_with(""), start + margin, 0, margin);
    CHECK(order.stage() == order_stage::sent);
    order.on_inventory(inventory_with("running"), start + milliseconds(5000), 0, margin);
    CHECK(order.stage() == order_stage::sent);
    engine_order lost = confirmed_order();
    lost.on_sending();
    lost.on_attempt_ended(start, milliseconds(100));
    lost.on_inventory(inventory_with(""), start + milliseconds(1001), 0, margin);
    CHECK(lost.stage() == order_stage::abandoned);
    order.on_inventory(inventory_with("failed"), start, 5, margin);
    CHECK(order.stage() == order_stage::failed);
}
