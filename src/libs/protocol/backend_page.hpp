#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::protocol
{

/// Maximum size of an encoded page.
inline constexpr std::size_t backend_page_max_bytes = 4 * 1024 * 1024;

/// One change to the list of backend servers: a new entry or a removal.
struct backend_page_record
{
    std::uint64_t offset = 0;
    std::string key;
    /// Absent if the receiver already has the current value of the key.
    std::optional<std::string> value;
    bool is_removal = false;
};

/// Part of the list of backend servers, which one gateway sends to another.
struct backend_page
{
    /// Offset from which the receiver requests the next page.
    std::uint64_t next = 0;
    /// Whether the page is the full list: the receiver removes every key that it lacks.
    bool is_full_list = false;
    /// Whether the sender has recently read the list, and the configuration, from the
    /// store.
    bool list_reachable = false;
    bool settings_reachable = false;
    std::vector<backend_page_record> records;
    /// Era of the store to which the offsets belong; 0 if it is not known.
    std::uint64_t store_era = 0;
    /// Identifies that store; 0 if the sender cannot tell.
    std::uint64_t store_id = 0;
};

/// Encodes a page as a version byte and a Thrift compact struct.
std::string encode_backend_page(const backend_page& page);
/// Decodes a page. Throws `state::error` (`malformed_frame`, `unsupported_version`).
backend_page decode_backend_page(std::string_view body);

} // namespace pomelorouter::protocol
