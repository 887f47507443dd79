#pragma once

#include "state/backend_entry.hpp"
#include "state/clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::protocol
{

/// A gateway process, as it describes itself.
struct gateway_member
{
    std::string node;
    /// Grows with each start of the node.
    std::uint64_t incarnation = 0;
    std::string zone;
    /// `ip:port` for callers, for questions of other gateways, and for datagrams.
    std::string frontend;
    std::string control;
    std::string datagrams;
    bool ready = false;
    /// Processor share times speed of the link, in thousandths of a core times Mbit/s.
    std::int64_t capacity = 0;
};

/// Whether `left` goes before `right` where one gateway works for the others.
bool is_stronger(const gateway_member& left, const gateway_member& right);

/// Calls of a gateway to one process of a backend server.
struct backend_load_entry
{
    std::string backend;
    std::uint32_t active = 0;
    std::uint32_t waiting_tokens = 0;
    std::uint32_t long_streams = 0;
    /// Prompt tokens begun a second.
    double prompt_rate = 0.0;
};

/// Requests of a gateway for one model or adapter, a second.
struct weight_rate_entry
{
    std::string service;
    std::string model;
    std::string adapter;
    double per_s = 0.0;
    double tokens_per_s = 0.0;
    double usual_tokens_per_s = 0.0;
    std::uint32_t waiting = 0;
};

/// What an engine holds, as the holder of the placement lease knows it.
struct engine_weights
{
    std::string engine;
    std::int64_t incarnation = 0;
    std::int64_t order_sequence = 0;
    std::vector<state::loaded_model> models;
};

/// A gateway's knowledge of the placement lease.
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

/// What an aggregator says of another gateway.
struct member_notice
{
    gateway_member member;
    /// Whether it was heard lately.
    bool is_alive = false;
};

/// Whose calls and requests a heartbeat counts.
enum class load_scope
{
    /// Nobody's; the lists are empty.
    none,
    /// The sender's own.
    gateway,
    /// All of the sender's availability zone, apart from the receiver's.
    zone,
    /// All of the fleet, apart from the receiver's. The rates are those of the zone.
    others,
};

std::string_view to_string(load_scope scope);

/// What a gateway tells the others several times a second.
struct gateway_heartbeat
{
    gateway_member origin;
    /// Grows with each heartbeat, so that one that was overtaken is ignored.
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
    /// Whether the sender adds up the reports of its zone.
    bool is_aggregator = false;
    /// What an aggregator says of the gateways that the receiver does not hear itself.
    std::vector<member_notice> members;
};

/// Largest datagram of a heartbeat.
inline constexpr std::size_t gateway_datagram_max_bytes = 32 * 1024;

/// Encodes a heartbeat as one datagram. Throws `state::error` (`too_large`).
std::string encode_gateway_heartbeat(const gateway_heartbeat& heartbeat);
/// Throws `state::error` (`malformed_frame`, `unsupported_version`).
gateway_heartbeat decode_gateway_heartbeat(std::string_view datagram);

} // namespace pomelorouter::protocol
