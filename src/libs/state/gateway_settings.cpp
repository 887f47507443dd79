#include "state/gateway_settings.hpp"

#include "state/error.hpp"
#include "state/json_reader.hpp"
#include "state/process_settings.hpp"

namespace pomelorouter::state
{

namespace
{

constexpr std::int64_t max_ms = 600'000;
/// With less, the part of callers would not hold one body of the usual limit of 4 MiB.
constexpr double min_memory_limit_mb = 32.0;
/// With less, the process could not open its own listeners and connections.
constexpr std::int64_t min_descriptor_limit = 64;

milliseconds read_ms(json_reader& reader, std::string_view key, milliseconds fallback)
{
    return milliseconds(reader.get_int(key, 1, max_ms, fallback.count()));
}

std::string read_optional_address(json_reader& reader, std::string_view key)
{
    return reader.find(key) == nullptr ? std::string() : read_address(reader, key);
}

} // namespace

gateway_settings read_gateway_settings(const boost::json::value& value,
                                       const std::string& place)
{
    json_reader reader(value, place);
    gateway_settings result;
    result.node_id = reader.get_string("node_id");
    if (result.node_id.empty())
        throw error(error_code::invalid_argument, reader.where("node_id"),
                    "must not be empty");
    result.zone = reader.get_string("zone");
    result.listen = read_address(reader, "listen");
    result.readiness_listen = read_address(reader, "readiness_listen");
    result.directory_listen = read_address(reader, "directory_listen");
    result.control_listen = read_address(reader, "control_listen");
    result.peer_listen = read_address(reader, "peer_listen");
    result.metrics_listen = read_optional_address(reader, "metrics_listen");
    result.platform = read_address(reader, "platform");
    if (reader.find("seeds") != nullptr)
        result.seeds = read_address_list(reader, "seeds");
    result.processor_share =
        reader.get_double("processor_share", 0.001, 1000.0, result.processor_share);
    result.link_mbit_per_s =
        reader.get_double("link_mbit_per_s", 0.001, 1.0e6, result.link_mbit_per_s);
    result.memory_limit_mb = reader.get_double("memory_limit_mb", min_memory_limit_mb,
                                               1.0e6, result.memory_limit_mb);
    result.descriptor_limit = reader.get_int("descriptor_limit", min_descriptor_limit,
                                             1'000'000, result.descriptor_limit);
    result.grace_period = read_ms(reader, "grace_period_ms", result.grace_period);
    result.lease_duration = read_ms(reader, "lease_duration_ms", result.lease_duration);
    result.engines_check_tokens = reader.get_bool("engines_check_tokens", false);
    result.address_ttl = read_ms(reader, "address_ttl_ms", result.address_ttl);
    result.retry_percent = reader.get_int("retry_percent", 0, 100, result.retry_percent);
    result.load_rate_factor =
        reader.get_double("load_rate_factor", 0.0, 1.0, result.load_rate_factor);
    result.zone_traffic_cost_ms_per_mb = reader.get_double(
        "zone_traffic_cost_ms_per_mb", 0.0, 1.0e6, result.zone_traffic_cost_ms_per_mb);
    result.minimum_log_level = read_log_level(reader, "log_level");
    result.log_lines_per_s =
        reader.get_int("log_lines_per_s", 0, 1'000'000, result.log_lines_per_s);
    reader.finish();
    return result;
}

} // namespace pomelorouter::state
