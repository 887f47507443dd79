#pragma once

#include "protocol/gateway_heartbeat.hpp"
#include "state/clock.hpp"

#include <map>
#include <string>
#include <vector>

namespace pomelorouter::coordination
{

/// Times that the table of gateways goes by.
struct member_timing
{
    /// A gateway that was silent for this long is not counted on, unless it sends more
    /// rarely: then it may miss this many heartbeats.
    state::milliseconds silence{1000};
    int missed_heartbeats = 3;
    /// A gateway that was silent for this long is forgotten.
    state::milliseconds forget{20000};
};

/// The other gateways, as their heartbeats describe them.
class gateway_members
{
public:
    explicit gateway_members(std::string own_node, const member_timing& times = {});

    /// Returns whether the heartbeat is newer than all before it of that gateway.
    bool on_heartbeat(state::time_point now,
                      const protocol::gateway_heartbeat& heartbeat);
    /// A gateway is known from elsewhere, and was not heard yet.
    void on_known(state::time_point now, const protocol::gateway_member& member);
    /// Drops gateways that have been silent for long; returns their names.
    std::vector<std::string> tick(state::time_point now);

    /// Gateways that were heard lately and are ready.
    std::vector<protocol::gateway_member> ready(state::time_point now) const;
    /// Gateways that were heard lately.
    std::vector<protocol::gateway_member> alive(state::time_point now) const;
    /// All that are not forgotten.
    std::vector<protocol::gateway_member> known() const;
    /// Returns the gateway, or null.
    const protocol::gateway_member* find(std::string_view node) const;
    bool is_alive(state::time_point now, std::string_view node) const;

private:
    struct entry
    {
        protocol::gateway_member member;
        std::uint64_t counter = 0;
        bool was_heard = false;
        state::time_point last_heard{};
        state::milliseconds period{0};
    };

    bool is_heard(const entry& item, state::time_point now) const;

    std::string node;
    member_timing timing;
    std::map<std::string, entry, std::less<>> entries;
};

} // namespace pomelorouter::coordination
