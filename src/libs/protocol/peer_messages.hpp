#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace pomelorouter::protocol
{

/// State of a node, as reported by itself or relayed by another node.
struct member_entry
{
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t counter = 0;
    bool ready = false;
    /// The node is draining before a planned stop.
    bool leaving = false;
    /// The node has not responded since this counter. A node that has seen a higher
    /// counter refutes the suspicion.
    bool suspect = false;

    bool operator==(const member_entry&) const = default;
};

/// A backend server that is known to be leaving.
struct leaving_backend
{
    std::string id;
    std::uint64_t incarnation = 0;

    bool operator==(const leaving_backend&) const = default;
    bool operator<(const leaving_backend& other) const
    {
        return std::tie(this->id, this->incarnation) <
               std::tie(other.id, other.incarnation);
    }
};

/// Requests of a service that a node received in its last interval.
struct service_demand
{
    std::string service;
    std::int32_t requests = 0;

    bool operator==(const service_demand&) const = default;
};

/// State that a node sends to its peers in each heartbeat interval.
struct heartbeat
{
    member_entry origin;
    std::uint64_t settings_offset = 0;
    std::uint64_t settings_version = 0;
    /// Number of peers whose heartbeats the sender currently receives.
    std::int32_t peers_heard = 0;
    std::vector<member_entry> others;
    std::vector<leaving_backend> leaving;
    std::vector<service_demand> demand;
    /// Address at which the origin accepts peer connections; empty in a reply.
    std::string peer_address;

    bool operator==(const heartbeat&) const = default;
};

/// Requests the settings if the receiver has applied records beyond `offset`.
struct settings_pull
{
    std::uint64_t offset = 0;

    bool operator==(const settings_pull&) const = default;
};

/// The current settings as a `settings_snapshot` record.
struct settings_state
{
    std::string snapshot;

    bool operator==(const settings_state&) const = default;
};

using peer_message = std::variant<heartbeat, settings_pull, settings_state>;

/// A message with the node id of its sender.
struct peer_envelope
{
    std::string sender;
    peer_message message;

    bool operator==(const peer_envelope&) const = default;
};

} // namespace pomelorouter::protocol
