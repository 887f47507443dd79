#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pomelorouter::protocol
{

/// Size limit of an idempotency key.
inline constexpr std::size_t max_key_bytes = 255;

/// An idempotency key that a node has issued. Only the process that issued the key may
/// run its request.
struct issued_key
{
    std::string node;
    std::uint64_t incarnation = 0;
    /// Wall-clock time of issue, in seconds.
    std::int64_t issued_s = 0;
    std::uint64_t number = 0;

    bool operator==(const issued_key&) const = default;
};

std::string format_issued_key(const issued_key& key);
/// Parses an issued key. Throws `state::error` that tells which part is invalid.
issued_key parse_issued_key(std::string_view text);
/// Returns the parts of an issued key, or `std::nullopt` if `text` is a key chosen by a
/// caller. Text of the same form with a wrong checksum counts as a caller's key.
std::optional<issued_key> find_issued_key(std::string_view text);

/// Hash that identifies a key in the log: 128 bits over service and key, in hexadecimal.
std::string hash_key(std::string_view service, std::string_view key);
/// Hash of the request that a key is used for: 64 bits, in hexadecimal.
std::string hash_request(std::string_view method, std::string_view target,
                         std::string_view body);

} // namespace pomelorouter::protocol
