#pragma once

#include "state/clock.hpp"
#include "state/log.hpp"

#include <boost/json/value.hpp>

#include <memory>
#include <string>
#include <vector>

namespace pomelorouter::state
{

/// Settings file of one gateway process. Addresses are `ip:port`.
struct gateway_settings
{
    std::string node_id;
    std::string zone;
    /// Accepts requests of callers.
    std::string listen;
    /// Accepts readiness probes.
    std::string readiness_listen;
    /// Accepts address queries of callers.
    std::string directory_listen;
    /// Accepts control requests of other gateways, including those that know only the
    /// seeds.
    std::string control_listen;
    /// Receives heartbeat datagrams of other gateways.
    std::string peer_listen;
    /// Serves metrics; empty to disable.
    std::string metrics_listen;
    /// Control addresses of other gateways, used to find the members while the store is
    /// not reachable. Not all of them need to be up.
    std::vector<std::string> seeds;
    /// Address of the platform's store.
    std::string platform;
    /// Processor cores available to the instance (may be a fraction), and its link speed.
    double processor_share = 1.0;
    double link_mbit_per_s = 1000.0;
    /// Memory that the instance gives to the process.
    double memory_limit_mb = 120.0;
    /// File descriptors that the process may open; 0 for the limit that the kernel names.
    std::int64_t descriptor_limit = 0;
    /// Time between the platform's stop signal and the forced end of the process.
    milliseconds grace_period{8000};
    /// Time after which a lease expires if its holder does not renew it.
    milliseconds lease_duration{3000};
    /// Whether engines reject orders with an older fencing token than the newest they
    /// have seen.
    bool engines_check_tokens = false;
    /// Retry limit: percentage of the requests of a service that may be sent a second
    /// time.
    std::int64_t retry_percent = 18;
    /// Time for which callers may cache an address.
    milliseconds address_ttl{2000};
    /// Share of the weight store's load rate that is used, from 0 to 1.
    double load_rate_factor = 1.0;
    /// Waiting time that avoiding a megabyte of traffic between availability zones is
    /// worth, in milliseconds.
    double zone_traffic_cost_ms_per_mb = 2000.0;
    log_level minimum_log_level = log_level::info;
    /// Maximum number of log lines per second; further lines are dropped and counted.
    std::int64_t log_lines_per_s = 200;
};

/// Settings in force; a change replaces them as a whole.
using gateway_settings_ptr = std::shared_ptr<const gateway_settings>;

/// Reads and validates the settings of a gateway process. Throws `error` if a value is
/// invalid or a key is unknown.
gateway_settings read_gateway_settings(const boost::json::value& value,
                                       const std::string& place);

} // namespace pomelorouter::state
