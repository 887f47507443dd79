#pragma once

#include "state/clock.hpp"
#include "state/log.hpp"

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace pomelorouter::state
{

/// Settings file of one gateway process. Addresses are `ip:port`.
struct gateway_settings
{
    std::string node_id;
    std::string zone;
    /// For callers.
    std::string listen;
    /// For checks of readiness.
    std::string readiness_listen;
    /// For callers that ask where to connect.
    std::string directory_listen;
    /// For other gateways that know no more than the seeds.
    std::string control_listen;
    /// For datagrams of other gateways.
    std::string peer_listen;
    /// For metrics; empty for none.
    std::string metrics_listen;
    /// Control addresses of gateways that may be reachable.
    std::vector<std::string> seeds;
    /// Address of the platform's store.
    std::string platform;
    /// Share of a processor core that the instance has, and the speed of its link.
    double processor_share = 1.0;
    double link_mbit_per_s = 1000.0;
    /// How long the platform lets a process run after the signal to stop.
    milliseconds grace_period{8000};
    /// Longest time that a holder of a lease may go without renewal.
    milliseconds lease_duration{3000};
    /// Whether engines refuse orders with an older fencing token than they have seen.
    bool engines_check_tokens = false;
    /// Share of the requests of a service that may be sent a second time, in percent.
    std::int64_t retry_percent = 18;
    /// Longest time for which callers may keep an address.
    milliseconds address_ttl{2000};
    /// Loads that may begin beyond the rate of the weight store, as a factor on the rate.
    double load_rate_factor = 1.0;
    log_level minimum_log_level = log_level::info;
    /// Log lines a second; what is beyond is counted and left out.
    std::int64_t log_lines_per_s = 200;
};

/// Reads and checks the settings of a gateway process; throws `error`. Unknown keys are
/// refused.
gateway_settings read_gateway_settings(const boost::json::value& value,
                                       const std::string& place);

} // namespace pomelorouter::state
