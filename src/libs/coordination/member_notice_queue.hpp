#pragma once

#include "protocol/gateway_heartbeat.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pomelorouter::coordination
{

/// Selects the notices about other gateways for the next heartbeat of an aggregator.
///
/// Changes take precedence and are sent in several heartbeats, since any of them may be
/// lost. All other notices are repeated in rotation, so that a receiver that is new or
/// has missed a change knows all gateways after one rotation.
class member_notice_queue
{
public:
    /// Replaces the known notices; gateways missing from `current` are no longer
    /// announced.
    void update(const std::vector<protocol::member_notice>& current);
    /// Returns the notices for the next heartbeat. `period` is the interval of
    /// heartbeats.
    std::vector<protocol::member_notice> next(state::milliseconds period);

private:
    struct entry
    {
        protocol::member_notice notice;
        /// Number of heartbeats that still have to include it as a change.
        int sends_left = 0;
    };

    std::map<std::string, entry> entries;
    /// Gateway after which the rotation continues.
    std::string last_repeated;
};

/// Each gateway is announced at least once in this period.
inline constexpr state::milliseconds member_rotation{10000};

} // namespace pomelorouter::coordination
