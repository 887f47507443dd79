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
    /// What an aggregator says of a gateway counts for this long.
    state::milliseconds notice_life{35000};
    /// A gateway that is known by notices alone and is relied on has to be heard within
    /// this time.
    state::milliseconds answer{2000};
    /// Once nobody of another availability zone was heard for this long, what was said of
    /// its gateways no longer counts. A zone that has lost its aggregator has a new one
    /// before.
    state::milliseconds zone_silence{4000};
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
    /// An aggregator says whether a gateway is alive. What this process hears itself goes
    /// before that.
    void on_notice(state::time_point now, const protocol::member_notice& notice);
    /// This process relies on a gateway from now on, and has to hear it itself soon.
    void rely_on(state::time_point now, std::string_view node);
    /// This process hears from the other zones from now on, as an aggregator does, and
    /// has to hear those of its own zone itself.
    void begin_to_aggregate(state::time_point now, std::string_view own_zone);
    /// Forgets what was said of the gateways of silent zones other than `own_zone`. Only
    /// for an aggregator, which hears from each zone itself.
    void drop_silent_zones(state::time_point now, std::string_view own_zone);
    /// Drops gateways that have been silent for long; returns their names.
    std::vector<std::string> tick(state::time_point now);

    /// Gateways that were heard lately and are ready.
    std::vector<protocol::gateway_member> ready(state::time_point now) const;
    /// Gateways that were heard lately, by this process or by an aggregator.
    std::vector<protocol::gateway_member> alive(state::time_point now) const;
    /// All that are not forgotten.
    std::vector<protocol::gateway_member> known() const;
    /// Returns the gateway, or null.
    const protocol::gateway_member* find(std::string_view node) const;
    bool is_alive(state::time_point now, std::string_view node) const;
    /// Whether this process itself has heard the gateway lately.
    bool is_heard(state::time_point now, std::string_view node) const;
    /// Whether the gateway said lately that it adds up the reports of its zone.
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
        /// The last notice says that the gateway is alive, and counts until then.
        state::time_point noticed_until{};
    };

    bool is_heard(const entry& item, state::time_point now) const;
    bool is_alive(const entry& item, state::time_point now) const;

    std::string node;
    member_timing timing;
    std::map<std::string, entry, std::less<>> entries;
    /// When a gateway of each zone was last heard.
    std::map<std::string, state::time_point, std::less<>> zones_heard;
};

} // namespace pomelorouter::coordination
