#pragma once

#include "state/backend_entry.hpp"
#include "state/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::protocol
{

/// A gateway process, as described by itself.
struct gateway_member
{
    std::string node;
    /// Increases with each start of the node.
    std::uint64_t incarnation = 0;
    std::string zone;
    /// `ip:port` for callers, for control requests of other gateways, and for heartbeat
    /// datagrams.
    std::string frontend;
    std::string control;
    std::string datagrams;
    bool ready = false;
    /// Processor share times link speed, in thousandths of a core times Mbit/s.
    std::int64_t capacity = 0;
};

/// Whether `left` is preferred to `right` when one gateway is chosen to act for the
/// others: the higher capacity wins, then the smaller node id.
bool is_preferred(const gateway_member& left, const gateway_member& right);

/// Load that a gateway puts on one process of a backend server.
struct backend_load_entry
{
    std::string backend;
    std::uint32_t active = 0;
    std::uint32_t waiting_tokens = 0;
    std::uint32_t long_streams = 0;
    /// Prompt tokens of newly started calls, per second.
    double prompt_rate = 0.0;
    /// Tokens of the prompts and outputs of running calls, which occupy the memory of the
    /// engine.
    std::uint32_t memory_tokens = 0;
    /// Streams that are expected to be cut at their deadline, and the most urgent of
    /// them.
    std::uint32_t behind_streams = 0;
    std::uint32_t urgent_behind_streams = 0;
};

/// Number of ranks for which waiting requests are counted. The last one contains those
/// that cannot be answered within their target any more.
inline constexpr std::size_t queue_ranks = 10;
using tokens_by_rank = std::array<std::uint32_t, queue_ranks>;

/// Rate at which a gateway receives requests for one model or adapter.
struct weight_rate_entry
{
    std::string service;
    std::string model;
    std::string adapter;
    double per_s = 0.0;
    double tokens_per_s = 0.0;
    double usual_tokens_per_s = 0.0;
    std::uint32_t waiting = 0;
    /// Prompt tokens of requests that wait until an engine has capacity for them.
    std::uint32_t queued_tokens = 0;
    /// The same by rank.
    tokens_by_rank queued_by_rank{};
};

/// Use of a team's allowance, in the unit of the allowance per second.
struct team_usage
{
    std::string team;
    double asked_per_s = 0.0;
    double admitted_per_s = 0.0;
};

/// Maximum number of teams in a heartbeat.
inline constexpr std::size_t max_reported_teams = 256;

/// Speed of the engines of a service, as measured by calls.
struct service_speed
{
    std::string service;
    double prompt_tokens_per_ms = 0.0;
    double step_ms = 0.0;
    /// Increase of the duration of a step for each further running request.
    double step_ms_per_request = 0.0;
    /// Number of calls behind the figures, which decreases with their age.
    double samples = 0.0;
};

/// Maximum number of services in a heartbeat.
inline constexpr std::size_t max_reported_services = 64;

/// Models loaded on an engine, as known to the holder of the placement lease.
struct engine_weights
{
    std::string engine;
    std::int64_t incarnation = 0;
    std::int64_t order_sequence = 0;
    std::vector<state::loaded_model> models;
};

/// State of the placement lease as known to a gateway.
struct lease_view
{
    std::string holder;
    std::uint64_t epoch = 0;
    /// End of the lease topic.
    std::uint64_t end_offset = 0;
};

struct leaving_process
{
    std::string id;
    std::int64_t incarnation = 0;
};

/// A crash of a backend server's process that a prompt part is suspected of.
struct suspected_crash
{
    std::string process;
    state::milliseconds age{0};
    /// Time between the sending of the last request with the part and the crash.
    state::milliseconds waited{0};
};

/// What a gateway knows of a prompt part that may crash backend servers.
struct suspect_part
{
    std::string service;
    std::uint64_t part = 0;
    int position = 0;
    std::vector<suspected_crash> crashes;
    /// Time since a backend server began to answer a request with the part.
    std::optional<state::milliseconds> cleared_ago;
    /// Number of the quarantine, 0 before the first, and the time until its end.
    int round = 0;
    state::milliseconds remaining{0};
    /// The quarantine has ended because a request with the part was answered.
    bool is_released = false;
};

/// Maximum number of suspect parts in a heartbeat, and of crashes of each.
inline constexpr std::size_t max_suspect_parts = 48;
inline constexpr std::size_t max_suspected_crashes = 16;

/// Limit of the requests per second that a process of a backend server accepts from all
/// gateways together.
struct backend_limit
{
    std::string backend;
    /// Empty if the process names no limit any more.
    std::optional<double> per_s;
    /// Time since it said so.
    state::milliseconds age{0};
};

/// Maximum number of limits in a heartbeat.
inline constexpr std::size_t max_reported_limits = 64;

/// State of another gateway, as reported by an aggregator.
struct member_notice
{
    gateway_member member;
    /// Whether the aggregator recently received a heartbeat of the gateway.
    bool is_alive = false;
};

/// The gateways whose calls and requests a heartbeat counts.
enum class load_scope
{
    /// No gateway; the lists are empty.
    none,
    /// The sender only.
    gateway,
    /// All gateways of the sender's availability zone except the receiver.
    zone,
    /// All gateways except the receiver. The rates cover the availability zone only.
    others,
};

std::string_view to_string(load_scope scope);

/// State that a gateway sends to the other gateways several times a second.
struct gateway_heartbeat
{
    gateway_member origin;
    /// Increases with each heartbeat, so that the receiver ignores datagrams that arrive
    /// out of order.
    std::uint64_t counter = 0;
    std::int64_t config_version = -1;
    lease_view lease;
    load_scope scope = load_scope::none;
    /// Time until the sender's next heartbeat to the same receiver.
    state::milliseconds period{200};
    std::vector<backend_load_entry> loads;
    std::vector<weight_rate_entry> rates;
    std::vector<engine_weights> weights;
    std::vector<leaving_process> leaving;
    std::vector<suspect_part> suspects;
    std::vector<backend_limit> limits;
    /// Cover the same gateways as `loads`.
    std::vector<team_usage> teams;
    /// Number of gateways whose use `teams` contains; 0 if the sender does not report it.
    std::uint32_t team_reporters = 0;
    std::vector<service_speed> speeds;
    /// Newest era of the store that the sender knows, to which `lease` belongs; 0 if it
    /// knows none.
    std::uint64_t store_era = 0;
    /// Identifies that store; 0 if the sender cannot tell.
    std::uint64_t store_id = 0;
    /// How long the sender's own reads of that store have succeeded without interruption;
    /// empty if it does not read the store itself or the last read failed.
    std::optional<state::milliseconds> store_contact;
    /// Whether the sender aggregates the reports of its availability zone.
    bool is_aggregator = false;
    /// Sent by an aggregator: the gateways whose heartbeats the receiver does not get.
    std::vector<member_notice> members;
};

/// Size limit of the datagram of a heartbeat.
inline constexpr std::size_t gateway_datagram_max_bytes = 32 * 1024;

/// Encodes a heartbeat as one datagram. Throws `state::error` (`too_large`).
std::string encode_gateway_heartbeat(const gateway_heartbeat& heartbeat);
/// The same for a heartbeat of any size. Leaves out what does not fit: first the members,
/// then the smallest loads and rates, then announced weights. Throws only if the rest is
/// too large.
std::string encode_within_limit(gateway_heartbeat heartbeat);
/// Decodes a datagram. Throws `state::error` (`malformed_frame`, `unsupported_version`).
gateway_heartbeat decode_gateway_heartbeat(std::string_view datagram);

} // namespace pomelorouter::protocol
