#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pomelorouter::protocol
{

/// Longest idempotency key that is accepted.
inline constexpr std::size_t max_key_bytes = 255;

/// An idempotency key that a node has handed out; only that process may run it.
struct issued_key
{
    std::string node;
    std::uint64_t incarnation = 0;
    /// Wall time of issue, in seconds.
    std::int64_t issued_s = 0;
    std::uint64_t number = 0;

    bool operator==(const issued_key&) const = default;
};

std::string format_issued_key(const issued_key& key);
/// Throws `state::error` naming the part that is wrong.
issued_key parse_issued_key(std::string_view text);
/// Returns the parts of an issued key, or nothing if `text` is a key chosen by a caller,
/// which includes text of the same form whose check value is wrong.
std::optional<issued_key> find_issued_key(std::string_view text);

/// Hash by which a key is known in the log: 128 bits in hexadecimal over service and key.
std::string hash_key(std::string_view service, std::string_view key);
/// Hash of the request that a key is used for.
std::string hash_request(std::string_view method, std::string_view target,
                         std::string_view body);

} // namespace pomelorouter::protocol
