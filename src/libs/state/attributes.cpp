#include "state/attributes.hpp"

#include "state/enum_table.hpp"
#include "state/error.hpp"
#include "state/json_reader.hpp"

namespace pomelorouter::state
{

namespace
{

constexpr std::array<enum_name<routing_policy_kind>, 4> policy_names{{
    {routing_policy_kind::random, "random"},
    {routing_policy_kind::round_robin, "round_robin"},
    {routing_policy_kind::least_in_flight, "least_in_flight"},
    {routing_policy_kind::expected_wait, "expected_wait"},
}};

constexpr auto anywhere = attribute_scope::anywhere;
constexpr auto root = attribute_scope::root;
constexpr std::int64_t gibibyte = 1024LL * 1024 * 1024;

// The rows are in the order of the enumeration, because attribute_values::get() uses the
// enumerator as an index.
constexpr std::array<attribute_row, attribute_count> rows{{
    {attribute::deadline_ms, "deadline_ms", "ms", 30000, 1, 3600000, anywhere,
     "time a caller waits for the whole response when it names no deadline"},
    {attribute::priority, "priority", "", 5, 0, 9, anywhere, "9 is the most urgent"},
    {attribute::policy, "policy", "", 3, 0, 3, anywhere,
     "random, round_robin, least_in_flight or expected_wait"},
    {attribute::max_in_flight, "max_in_flight", "requests", 0, 0, 1000000, anywhere,
     "limit over all nodes; 0 means no limit"},
    {attribute::max_queue, "max_queue", "requests", 256, 0, 100000, anywhere,
     "requests of a service waiting in one node"},
    {attribute::max_queue_bytes, "max_queue_bytes", "bytes", 16777216, 0, gibibyte,
     anywhere, "bytes of requests of a service waiting in one node"},
    {attribute::min_copies, "min_copies", "copies", 2, 1, 64, anywhere,
     "copies of a model kept on different engines where memory allows"},
    {attribute::max_copies, "max_copies", "copies", 64, 1, 1000, anywhere,
     "most copies of a model"},
    {attribute::progress_timeout_ms, "progress_timeout_ms", "ms", 2000, 10, 600000,
     anywhere, "an attempt without a new chunk for this long has failed"},
    {attribute::connect_timeout_ms, "connect_timeout_ms", "ms", 500, 1, 60000, anywhere,
     "time to connect to a backend server"},
    {attribute::retry_percent, "retry_percent", "%", 10, 0, 100, anywhere,
     "retries and hedges allowed as a share of the callers' requests"},
    {attribute::retry_base_ms, "retry_base_ms", "ms", 10, 1, 60000, anywhere,
     "upper bound of the delay before the first retry"},
    {attribute::retry_max_ms, "retry_max_ms", "ms", 1000, 1, 600000, anywhere,
     "upper bound of the delay before any retry"},
    {attribute::hedge_percent, "hedge_percent", "%", 0, 0, 100, anywhere,
     "share of idempotent requests that may be hedged, within retry_percent"},
    {attribute::long_work_tokens, "long_work_tokens", "tokens", 1024, 1, 1000000,
     anywhere, "requests expected to produce more than this are long work"},
    {attribute::long_work_share_percent, "long_work_share_percent", "%", 50, 1, 100,
     anywhere, "share of an engine's slots that long work may hold"},
    {attribute::kv_reserve_percent, "kv_reserve_percent", "%", 20, 0, 90, anywhere,
     "share of accelerator memory kept free for KV cache"},
    {attribute::address_ttl_s, "address_ttl_s", "s", 10, 1, 3600, root,
     "time a caller may keep the answer to the address query"},
    {attribute::key_lifetime_s, "key_lifetime_s", "s", 86400, 1, 604800, root,
     "time an idempotency key is remembered"},
    {attribute::heartbeat_ms, "heartbeat_ms", "ms", 1000, 10, 60000, root,
     "interval of heartbeats between nodes"},
    {attribute::suspect_after_ms, "suspect_after_ms", "ms", 4000, 50, 600000, root,
     "a node whose heartbeat counter stands still for this long is not listed"},
    {attribute::rejoin_after_ms, "rejoin_after_ms", "ms", 3000, 0, 600000, root,
     "progress needed before a node that was not listed is listed again"},
    {attribute::pause_limit_ms, "pause_limit_ms", "ms", 1500, 20, 600000, root,
     "a node whose own tick is this late treats itself as paused"},
    {attribute::lease_renew_ms, "lease_renew_ms", "ms", 2000, 20, 60000, root,
     "interval of placement lease renewals"},
    {attribute::lease_duration_ms, "lease_duration_ms", "ms", 8000, 100, 600000, root,
     "a lease without renewal for this long may be claimed"},
    {attribute::late_order_margin_ms, "late_order_margin_ms", "ms", 5000, 0, 600000, root,
     "time an order of a dead process may still be in the network"},
    {attribute::list_poll_ms, "list_poll_ms", "ms", 1000, 10, 60000, root,
     "interval of reading the instance list"},
    {attribute::load_poll_ms, "load_poll_ms", "ms", 500, 10, 60000, root,
     "interval of reading an engine's inventory and load report"},
    {attribute::claim_appends_per_s, "claim_appends_per_s", "appends/s", 200, 1, 10000,
     root, "appends of idempotency claims over all nodes"},
    {attribute::snapshot_records, "snapshot_records", "records", 500, 5, 1000000, root,
     "a snapshot is appended after this many records of a stream"},
    {attribute::drain_limit_s, "drain_limit_s", "s", 600, 1, 86400, root,
     "longest time a planned stop of a node waits for requests in flight"},
}};

constexpr bool rows_are_in_order()
{
    for (std::size_t i = 0; i < rows.size(); ++i)
    {
        if (static_cast<std::size_t>(rows[i].id) != i)
            return false;
    }
    return true;
}
static_assert(rows_are_in_order());

std::int64_t read_policy(json_reader& reader, std::string_view name)
{
    const std::string value = reader.get_string(name);
    const auto kind = value_of(policy_names, value);
    if (!kind)
    {
        throw error(error_code::out_of_range, reader.where(name),
                    "expected random, round_robin, least_in_flight or expected_wait");
    }
    return static_cast<std::int64_t>(*kind);
}

} // namespace

std::string_view to_string(routing_policy_kind kind)
{
    return name_of(policy_names, kind);
}

const std::array<attribute_row, attribute_count>& attribute_table()
{
    return rows;
}

attribute_values::attribute_values() : values{}
{
    for (const attribute_row& row : rows)
        this->set(row.id, row.fallback);
}

void attribute_values::override_from(const boost::json::value& object,
                                     const std::string& place, const std::string& pointer,
                                     bool is_root)
{
    json_reader reader(object, place, pointer);
    for (const attribute_row& row : rows)
    {
        if (reader.find(row.name) == nullptr)
            continue;
        if (row.scope == attribute_scope::root && !is_root)
        {
            throw error(error_code::unknown_key, reader.where(row.name),
                        "this attribute may only be set at the root of the tree");
        }
        if (row.id == attribute::policy)
            this->set(row.id, read_policy(reader, row.name));
        else
            this->set(row.id, reader.get_int(row.name, row.low, row.high));
    }
    reader.finish();
}

} // namespace pomelorouter::state
