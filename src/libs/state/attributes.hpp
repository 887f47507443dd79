#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace boost::json
{
class value;
}

namespace pomelorouter::state
{

/// Settings that a node of the settings tree inherits from its parent.
enum class attribute
{
    deadline_ms,
    priority,
    policy,
    max_in_flight,
    max_queue,
    max_queue_bytes,
    min_copies,
    max_copies,
    progress_timeout_ms,
    connect_timeout_ms,
    retry_percent,
    retry_base_ms,
    retry_max_ms,
    hedge_percent,
    long_work_tokens,
    long_work_share_percent,
    kv_reserve_percent,
    address_ttl_s,
    key_lifetime_s,
    heartbeat_ms,
    suspect_after_ms,
    rejoin_after_ms,
    pause_limit_ms,
    lease_renew_ms,
    lease_duration_ms,
    late_order_margin_ms,
    list_poll_ms,
    load_poll_ms,
    claim_appends_per_s,
    snapshot_records,
    drain_limit_s,
};

inline constexpr std::size_t attribute_count = 31;

/// Values of `attribute::policy`.
enum class routing_policy_kind
{
    random,
    round_robin,
    least_in_flight,
    expected_wait,
};

std::string_view to_string(routing_policy_kind kind);

/// The nodes of the settings tree at which an attribute may be set.
enum class attribute_scope
{
    anywhere,
    root,
};

/// Schema of one attribute: name, unit, default, range and scope.
struct attribute_row
{
    attribute id;
    std::string_view name;
    std::string_view unit;
    std::int64_t fallback;
    std::int64_t low;
    std::int64_t high;
    attribute_scope scope;
    std::string_view help;
};

const std::array<attribute_row, attribute_count>& attribute_table();

/// The values of all attributes at one node of the settings tree.
class attribute_values
{
public:
    /// Sets all attributes to their defaults.
    attribute_values();

    std::int64_t get(attribute id) const
    {
        return this->values[static_cast<std::size_t>(id)];
    }
    void set(attribute id, std::int64_t value)
    {
        this->values[static_cast<std::size_t>(id)] = value;
    }
    routing_policy_kind policy() const
    {
        return static_cast<routing_policy_kind>(this->get(attribute::policy));
    }
    /// Overrides values from the `attributes` object of a tree node. Throws `error` if a
    /// name is unknown, a value is out of range, or a root attribute is set at another
    /// node.
    void override_from(const boost::json::value& object, const std::string& place,
                       const std::string& pointer, bool is_root);

private:
    std::array<std::int64_t, attribute_count> values;
};

} // namespace pomelorouter::state
