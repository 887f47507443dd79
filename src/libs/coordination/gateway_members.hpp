#pragma once

#include "protocol/gateway_heartbeat.hpp"
#include "state/clock.hpp"

#include <map>
#include <string>
#include <vector>

namespace pomelorouter::coordination
{

/// Timeouts of the table of gateways.
struct member_timing
{
    /// A gateway counts as heard for this long after a heartbeat, or for
    /// `missed_heartbeats` of its own periods if that is longer.
    state::milliseconds heartbeat_timeout{1000};
    int missed_heartbeats = 3;
    /// A gateway without a heartbeat for this long is removed.
    state::milliseconds removal_timeout{20000};
    /// A notice of an aggregator about a gateway is valid for this long.
    state::milliseconds notice_lifetime{35000};
    /// A gateway that this process depends on and knows only from notices must send a
    /// heartbeat to it within this time.
    state::milliseconds response_timeout{2000};
    /// Without a heartbeat from another availability zone for this long, notices about
    /// its gateways become invalid. A zone that has lost its aggregator replaces it
    /// sooner.
    state::milliseconds zone_timeout{4000};
};

/// Table of the other gateways, from their heartbeats and the notices of aggregators.
class gateway_members
{
public:
    explicit gateway_members(std::string own_node, const member_timing& times = {});

    /// Processes a heartbeat; returns false if it is outdated or from this process
    /// itself.
    bool on_heartbeat(state::time_point now,
                      const protocol::gateway_heartbeat& heartbeat);
    /// Adds a gateway that is known from another source and was not heard yet.
    void add_known(state::time_point now, const protocol::gateway_member& member);
    /// Processes the notice of an aggregator about whether a gateway is alive. Heartbeats
    /// that this process received itself take precedence.
    void on_notice(state::time_point now, const protocol::member_notice& notice);
    /// Marks a gateway that this process depends on: notices alone keep it alive only for
    /// `member_timing::response_timeout`.
    void require_heartbeat(state::time_point now, std::string_view node);
    /// Prepares for the role of aggregator: from now on this process receives heartbeats
    /// from the other zones, and must hear the gateways of its own zone itself.
    void begin_aggregation(state::time_point now, std::string_view own_zone);
    /// Invalidates the notices about gateways in zones from which no heartbeat arrives,
    /// except `own_zone`. Only for an aggregator, which receives heartbeats of each zone.
    void drop_silent_zones(state::time_point now, std::string_view own_zone);
    /// Removes gateways whose heartbeats stopped long ago; returns their names.
    std::vector<std::string> tick(state::time_point now);

    /// Returns the gateways that are alive and ready.
    std::vector<protocol::gateway_member> ready(state::time_point now) const;
    /// Returns the gateways that this process or an aggregator heard recently.
    std::vector<protocol::gateway_member> alive(state::time_point now) const;
    /// Returns all gateways in the table, alive or not.
    std::vector<protocol::gateway_member> known() const;
    /// Returns the gateway, or null.
    const protocol::gateway_member* find(std::string_view node) const;
    bool is_alive(state::time_point now, std::string_view node) const;
    /// Whether this process received a heartbeat of the gateway recently.
    bool is_heard(state::time_point now, std::string_view node) const;
    /// Whether a recent heartbeat of the gateway says that it aggregates its zone's
    /// reports.
    bool is_aggregating(state::time_point now, std::string_view node) const;

private:
    struct entry
    {
        protocol::gateway_member member;
        std::uint64_t counter = 0;
        bool was_heard = false;
        state::time_point last_heard{};
        state::milliseconds period{0};
        bool is_aggregating = false;
        /// End of validity of the last notice that says the gateway is alive.
        state::time_point notice_valid_until{};
    };

    bool is_heard(const entry& item, state::time_point now) const;
    bool is_alive(const entry& item, state::time_point now) const;

    std::string node;
    member_timing timing;
    std::map<std::string, entry, std::less<>> entries;
    /// Time of the last heartbeat from each zone.
    std::map<std::string, state::time_point, std::less<>> zone_last_heard;
};

} // namespace pomelorouter::coordination
