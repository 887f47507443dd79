#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::protocol
{

/// One record of the list of backend servers.
struct backend_page_record
{
    std::uint64_t offset = 0;
    std::string key;
    /// Nothing if the record only repeats what the receiver has for the key.
    std::optional<std::string> value;
    bool is_removal = false;
};

/// Part of the list of backend servers, from one gateway to another.
struct backend_page
{
    /// Offset to read from next.
    std::uint64_t next = 0;
    /// Whether keys that are not named have been removed.
    bool is_whole = false;
    /// Whether the store answered the sender's last call for the list, and for the
    /// configuration.
    bool list_reachable = false;
    bool settings_reachable = false;
    std::vector<backend_page_record> records;
};

std::string encode_backend_page(const backend_page& page);
/// Throws `state::error` (`malformed_frame`, `unsupported_version`).
backend_page decode_backend_page(std::string_view body);

} // namespace pomelorouter::protocol
