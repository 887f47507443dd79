#pragma once

#include "state/log.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::state
{

class json_reader;

/// Settings file of one node process: its own addresses and those of the platform.
struct process_settings
{
    std::string node_id;
    std::string zone;
    /// Address for callers, `ip:port`; port 0 lets the kernel choose.
    std::string listen;
    /// Address for other nodes, `ip:port`.
    std::string peer_listen;
    /// Address that is announced to other nodes; empty for `peer_listen`. Set it, for
    /// example, if other nodes connect through a relay.
    std::string peer_advertise;
    /// Address of the log service and of the instance list, `ip:port`.
    std::string platform;
    /// Peer addresses to use until the instance list has been read.
    std::vector<std::string> seed_peers;
    log_level minimum_log_level = log_level::info;
    std::int64_t max_connections = 10000;
    std::int64_t max_body_bytes = 8 * 1024 * 1024;
    std::int64_t read_timeout_ms = 10000;
    std::int64_t timeline_events = 4096;
};

/// Reads and validates the settings of a node process. Throws `error` if a value is
/// invalid or a key is unknown.
process_settings read_process_settings(const boost::json::value& value,
                                       const std::string& place);

/// Reads a required `ip:port`; throws `error`.
std::string read_address(json_reader& reader, std::string_view key);
/// Reads a required array of `ip:port`; throws `error`.
std::vector<std::string> read_address_list(json_reader& reader, std::string_view key);
/// Reads a log level; returns `info` if the key is absent; throws `error`.
log_level read_log_level(json_reader& reader, std::string_view key);

/// Reads a whole file; throws `error` naming the file.
std::string read_file(const std::string& path);

} // namespace pomelorouter::state
