#pragma once

#include "protocol/peer_messages.hpp"
#include "state/clock.hpp"
#include "state/fleet.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::coordination
{

/// Periods of the failure detector, from the current settings.
struct membership_times
{
    state::milliseconds heartbeat{1000};
    state::milliseconds suspect_after{4000};
    state::milliseconds rejoin_after{3000};
    state::milliseconds pause_limit{1500};
};

/// State of this node that its heartbeats announce.
struct own_state
{
    bool ready = false;
    bool leaving = false;
    std::uint64_t settings_offset = 0;
    std::uint64_t settings_version = 0;
};

/// Known state of another node.
struct member_status
{
    std::string id;
    /// 0 until a heartbeat with the node's state was received.
    std::uint64_t incarnation = 0;
    std::string address;
    std::string peer_address;
    std::string zone;
    /// Heard and not declared failed, or known only from the instance list; and neither
    /// leaving nor absent according to that list.
    bool live = false;
    /// Live, and announces that it serves requests.
    bool ready = false;
};

/// Whether this node should serve, judged by the contact with its peers.
enum class own_health
{
    healthy,
    /// The process was paused and has not yet caught up with the log and its peers.
    catching_up,
    /// The node hears fewer than half of the nodes of its region, itself included.
    isolated,
};

/// A heartbeat to send. `node` is empty if the destination is a seed address.
struct outgoing_heartbeat
{
    std::string node;
    std::string address;
    protocol::heartbeat message;
};

/// A membership change to record in the timeline.
struct membership_event
{
    enum class change
    {
        listed,
        unlisted,
        replaced,
        removed,
        paused,
    };
    change kind = change::listed;
    std::string node;
};

std::string_view to_string(membership_event::change change);

/// Gossip failure detector. In each round a node sends a heartbeat to a few peers, which
/// respond. A peer that does not respond is suspected. The suspicion spreads together
/// with the last known heartbeat counter of that peer; a node that knows a higher counter
/// refutes it. The traffic of a node is thus independent of the number of nodes.
class membership
{
public:
    membership(std::string id, std::uint64_t incarnation, std::string peer_address,
               std::uint64_t seed);

    void set_times(const membership_times& periods) { this->times = periods; }
    void set_own(const own_state& state) { this->own = state; }
    /// Sets the addresses to contact while no peer has been heard.
    void set_seeds(std::vector<std::string> addresses);
    /// Sets the zones whose peers count for isolation. If empty, all peers count.
    void set_region_zones(std::set<std::string, std::less<>> zones);
    /// Applies the instance list of the platform, which may be outdated.
    void on_list(const std::vector<state::instance>& instances, state::time_point now);
    /// Processes a heartbeat received directly from its origin.
    void on_heartbeat(const protocol::heartbeat& message, state::time_point now);
    /// Records that a read of the log has completed.
    void on_log_read(state::time_point now);
    /// Marks a backend server as leaving and announces that to the peers.
    void mark_backend_leaving(const protocol::leaving_backend& backend,
                              state::time_point now);

    /// Advances time; returns the heartbeats that are due. Call at least every
    /// `max_tick_period`.
    std::vector<outgoing_heartbeat> tick(state::time_point now);
    /// Returns heartbeats to send at once after a change of this node's own state.
    std::vector<outgoing_heartbeat> announce();
    /// Returns the response to a heartbeat; it is small, as it has only this node's
    /// state.
    protocol::heartbeat make_response();

    own_health health() const;
    std::vector<member_status> members() const;
    /// Whether the node is heard and not declared failed, regardless of the instance
    /// list. Always true for this node itself.
    bool is_live(std::string_view node) const;
    std::size_t peers_heard() const;
    /// Whether a process has definitely ended: its instance is no longer in the list, or
    /// a later process responds under the same node id.
    bool has_ended(std::string_view node, std::uint64_t incarnation) const;
    /// Returns the number of ready nodes that precede this one in the order for `key`.
    std::size_t rank(std::string_view key) const;
    bool is_leaving(const protocol::leaving_backend& backend) const;
    /// Returns the changes since the last call.
    std::vector<membership_event> take_events();

    static constexpr std::size_t fan_out = 3;
    /// Number of peers that receive an announcement; above `fan_out`, since it is rare.
    static constexpr std::size_t announce_fan_out = 8;
    static constexpr std::size_t max_others = 8;
    static constexpr std::size_t max_leaving = 4;
    static constexpr state::milliseconds max_tick_period{100};

private:
    struct member
    {
        state::instance listed_as;
        bool in_list = false;
        /// The list marks it as leaving, or no longer contains it.
        bool leaves_list = false;
        std::uint64_t incarnation = 0;
        /// Incarnation of the last heartbeat that came from the node itself.
        std::uint64_t direct_incarnation = 0;
        std::set<std::uint64_t> retired;
        std::uint64_t counter = 0;
        bool ready = false;
        bool leaving = false;
        bool live = false;
        bool suspected = false;
        bool probe_next = false;
        std::optional<state::time_point> awaiting_since;
        state::time_point last_progress{};
        state::time_point suspected_since{};
        state::time_point rejoin_since{};
        state::time_point last_direct{};
        /// Number of heartbeats that still include this entry before others.
        std::size_t sends_left = 0;

        bool is_heard() const { return this->incarnation != 0; }
        bool is_willing() const { return this->ready && !this->leaving; }
    };
    using member_map = std::map<std::string, member, std::less<>>;

    void advance_clock(state::time_point now);
    void resume(state::time_point now);
    void drop_absent(const std::set<std::string>& present, state::time_point now);
    void merge(const protocol::member_entry& entry, bool direct, state::time_point now);
    void replace(const std::string& id, member& item, const protocol::member_entry& entry,
                 state::time_point now);
    void progress(member& item, const protocol::member_entry& entry, bool direct,
                  state::time_point now);
    void suspect(member& item, state::time_point now);
    void update_member(const std::string& id, member& item, state::time_point now);
    void spread(member& item);
    std::vector<std::string> choose_targets(std::size_t count);
    void take_from_rotation(std::vector<std::string>& rotation, bool suspected,
                            std::size_t limit, std::vector<std::string>& targets);
    protocol::heartbeat make_heartbeat(std::string_view target);
    std::vector<protocol::member_entry> choose_others(std::string_view target);
    std::vector<protocol::leaving_backend> choose_leaving();
    std::vector<outgoing_heartbeat> send_round(std::size_t count);
    /// Returns the number of rounds in which a change reaches every node.
    std::size_t spread_rounds() const;
    bool counts_for_isolation(const member& item) const;
    void record(membership_event::change kind, const std::string& node);

    std::string id;
    std::uint64_t incarnation;
    std::string peer_address;
    std::mt19937_64 random;
    membership_times times;
    own_state own;
    std::uint64_t counter = 0;
    std::vector<std::string> seeds;
    std::set<std::string, std::less<>> region_zones;
    member_map peers;
    /// Nodes removed after they left the list.
    std::set<std::string, std::less<>> departed;
    std::optional<state::time_point> first_list;
    state::time_point last_list{};
    struct leaving_flag
    {
        std::size_t sends_left = 0;
        state::time_point noted{};
    };
    std::map<protocol::leaving_backend, leaving_flag> leaving_backends;
    std::vector<std::string> live_rotation;
    std::vector<std::string> suspect_rotation;
    std::optional<state::time_point> last_time;
    state::time_point next_round{};
    bool is_catching_up = false;
    std::size_t reads_since_pause = 0;
    state::time_point resumed{};
    std::uint64_t highest_offset_heard = 0;
    std::vector<membership_event> events;
};

} // namespace pomelorouter::coordination
