#pragma once

#include "coordination/engine_order.hpp"
#include "coordination/engine_watch.hpp"
#include "coordination/order_ledger.hpp"
#include "coordination/placement.hpp"
#include "coordination/placement_lease.hpp"
#include "coordination/record_outbox.hpp"
#include "state/event_log.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pomelorouter::coordination
{

/// Information of the membership about the other nodes.
class peer_status
{
public:
    virtual ~peer_status() = default;

    /// Whether a process has definitely ended: its node is no longer in the
    /// instance list, or a new incarnation responds under its node id. Suspicion is not
    /// enough.
    virtual bool has_ended(const std::string& node, std::uint64_t incarnation) const = 0;
    /// Returns this node's rank among the candidates for a lease; 0 claims first.
    virtual std::size_t lease_rank(const std::string& scope) const = 0;
    /// Whether this node may hold a lease now.
    virtual bool may_hold_lease() const = 0;
    /// Returns the number of nodes that receive requests of callers, this one included.
    virtual std::size_t serving_nodes() const { return 1; }
};

/// Result of an attempt to send an order.
enum class send_outcome
{
    /// The engine has received the order.
    accepted,
    stale_fence,
    /// The order was rejected for another reason, or the response was lost.
    unknown,
};

/// Asynchronous operations that the agent starts. Their results are reported with
/// `placement_agent::on_append_outcome` and `placement_agent::on_send_outcome`.
class placement_port
{
public:
    virtual ~placement_port() = default;

    virtual void append(std::string data) = 0;
    virtual void send(const std::string& engine, const protocol::engine_order& order) = 0;
    virtual void record_event(std::string kind,
                              std::vector<state::event_field> fields) = 0;
};

/// Placement logic of a node. It competes for the placement lease; the holder issues
/// orders to engines and closes orders that earlier holders have left open.
class placement_agent
{
public:
    placement_agent(std::string node, std::uint64_t incarnation, std::string zone,
                    const peer_status& peers, placement_port& port);
    ~placement_agent();
    placement_agent(const placement_agent&) = delete;
    placement_agent& operator=(const placement_agent&) = delete;

    void on_settings(std::shared_ptr<const state::settings> tree);
    /// Sets the first available offset of the log; earlier records were deleted or never
    /// existed.
    void begin_at(std::uint64_t first);
    /// Applies one record; throws `state::error` if it cannot be parsed.
    void on_record(state::time_point now, std::uint64_t offset, std::string_view data);
    /// Acts on the new state after all records of a page were applied.
    void on_page_end(state::time_point now);
    void on_append_outcome(append_outcome end, state::time_point now);
    void on_send_outcome(const std::string& order_id, send_outcome end,
                         state::time_point now);
    void on_engines(const std::vector<listed_engine>& engines, state::time_point now);
    /// `requested` is when this process asked for the inventory.
    void on_inventory(const state::engine_inventory& inventory, double tokens_per_s,
                      state::time_point requested, state::time_point now);
    void on_engine_unreachable(const std::string& engine);
    void on_tick(state::time_point now, const demand_map& demand);

    const order_ledger& ledger() const { return this->current_ledger; }
    const placement_lease& lease() const { return this->own_lease; }
    std::size_t orders_in_progress() const { return this->orders.size(); }

private:
    std::int64_t attribute(state::attribute id) const;
    state::milliseconds margin() const;
    std::string scope_of_zone(const std::string& zone) const;
    /// Returns the epoch of the lease if this process holds it, otherwise 0.
    std::uint64_t held_epoch() const;
    bool is_own(const protocol::record_header& header) const;
    std::int64_t limit_of(const watched_engine& engine) const;

    void act_on_lease(state::time_point now);
    void advance_orders(state::time_point now);
    void advance_order(engine_order& order, state::time_point now);
    bool is_still_safe(const protocol::order_intent& order) const;
    void send(engine_order& order);
    void issue_order(protocol::order_intent intent);
    void report_changed_engines();
    void report_removed_engines(state::time_point now);
    void close_foreign_orders(state::time_point now);
    void close_foreign_order(const protocol::engine_entry& entry,
                             const protocol::order_intent& order, state::time_point now);
    bool is_author_gone(const protocol::order_intent& order, state::time_point requested,
                        state::time_point now);
    void issue_fence_orders();
    void plan(state::time_point now, const demand_map& demand);
    bool can_plan() const;
    void write_snapshot();
    void append_next(state::time_point now);

    std::string node;
    std::uint64_t incarnation;
    std::string zone;
    const peer_status& peers;
    placement_port& port;
    std::shared_ptr<const state::settings> tree;
    order_ledger current_ledger;
    placement_lease own_lease;
    placement planner;
    record_outbox outbox;
    engine_watch watch;
    std::map<std::string, engine_order> orders;
    /// Open orders whose outcome was appended or queued but not yet read back.
    std::set<std::string> closing;
    /// Failed loads by engine and model, and the time until which they are not retried.
    std::map<std::pair<std::string, model_key>, state::time_point> failed_loads;
    /// Time since which the author of an open order is known to have ended.
    std::map<std::pair<std::string, std::uint64_t>, state::time_point> dead_since;
    std::uint64_t next_order = 0;
    std::int64_t records_since_snapshot = 0;
    bool has_lease_record = false;
};

} // namespace pomelorouter::coordination
