#pragma once

#include "protocol/gateway_heartbeat.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pomelorouter::coordination
{

/// Chooses what an aggregator says of other gateways in its next heartbeat.
///
/// What has changed goes first, in several heartbeats, since any of them may be lost. The
/// rest is repeated in turns, so that a receiver that has missed a change, or is new,
/// knows all after one round.
class member_news
{
public:
    /// Takes over all that is known now; gateways that are not named are no longer told
    /// of.
    void update(const std::vector<protocol::member_notice>& current);
    /// What the next heartbeat says; `period` is the time until the one after it.
    std::vector<protocol::member_notice> next(state::milliseconds period);

private:
    struct entry
    {
        protocol::member_notice notice;
        /// Heartbeats that still have to say it before the others.
        int tellings = 0;
    };

    std::map<std::string, entry> entries;
    /// The gateway after which the round goes on.
    std::string last_told;
};

/// Time in which each gateway is told of at least once.
inline constexpr state::milliseconds member_round{10000};

} // namespace pomelorouter::coordination
