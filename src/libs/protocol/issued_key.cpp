#include "protocol/issued_key.hpp"

#include "state/error.hpp"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>

namespace pomelorouter::protocol
{

using state::error;
using state::error_code;

namespace
{

constexpr const char* place = "Idempotency-Key";
constexpr std::string_view prefix = "pk1";
constexpr std::size_t part_count = 6;
constexpr std::size_t checksum_digits = 16;
constexpr int hexadecimal = 16;
// Makes the checksum differ from other hashes of the same text.
constexpr XXH64_hash_t checksum_seed = 0x706f6d656c6f6b31;

std::string hex64(std::uint64_t value)
{
    std::array<char, checksum_digits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(value));
    return text.data();
}

std::string checksum(std::string_view text)
{
    return hex64(XXH3_64bits_withSeed(text.data(), text.size(), checksum_seed));
}

std::array<std::string_view, part_count> split(std::string_view text)
{
    std::array<std::string_view, part_count> parts;
    for (std::size_t i = 0; i < part_count; ++i)
    {
        const std::size_t dot = text.find('.');
        if ((dot == std::string_view::npos) != (i + 1 == part_count))
        {
            throw error(error_code::invalid_argument, place,
                        "wrong number of parts; expected "
                        "pk1.NODE.INCARNATION.ISSUED.NUMBER.CHECK");
        }
        parts[i] = text.substr(0, dot);
        text.remove_prefix(dot == std::string_view::npos ? text.size() : dot + 1);
    }
    return parts;
}

std::uint64_t parse_number(std::string_view text, const char* name)
{
    std::uint64_t value = 0;
    const auto parsed =
        std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    if (text.empty() || parsed.ec != std::errc() ||
        parsed.ptr != text.data() + text.size())
    {
        throw error(error_code::invalid_argument, std::string(place) + " " + name,
                    "not a hexadecimal number of at most 64 bits");
    }
    return value;
}

void add_part(std::string& text, std::string_view part)
{
    // The length prefix makes the hash change when a byte moves from one part to the
    // next.
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

} // namespace

std::string format_issued_key(const issued_key& key)
{
    std::array<char, 64> numbers{};
    std::snprintf(numbers.data(), numbers.size(), ".%llx.%llx.%llx",
                  static_cast<unsigned long long>(key.incarnation),
                  static_cast<unsigned long long>(key.issued_s),
                  static_cast<unsigned long long>(key.number));
    std::string text = std::string(prefix) + "." + key.node + numbers.data();
    text += "." + checksum(text);
    return text;
}

issued_key parse_issued_key(std::string_view text)
{
    if (text.size() > max_key_bytes)
    {
        throw error(error_code::too_large, place,
                    "the key exceeds " + std::to_string(max_key_bytes) + " bytes");
    }
    const auto parts = split(text);
    if (parts[0] != prefix)
    {
        throw error(error_code::unsupported_version, place,
                    "unknown key format; expected the prefix " + std::string(prefix));
    }
    const std::string_view checked = text.substr(0, text.size() - parts[5].size() - 1);
    if (parts[5] != checksum(checked))
        throw error(error_code::invalid_argument, place,
                    "the checksum does not match the key");
    issued_key key;
    key.node = parts[1];
    key.incarnation = parse_number(parts[2], "incarnation");
    const std::uint64_t issued = parse_number(parts[3], "time of issue");
    constexpr std::uint64_t max_time_s = 1ULL << 40U;
    if (key.node.empty() || issued > max_time_s)
        throw error(error_code::out_of_range, place,
                    "the node is empty or the time of issue is too large");
    key.issued_s = static_cast<std::int64_t>(issued);
    key.number = parse_number(parts[4], "number");
    return key;
}

std::optional<issued_key> find_issued_key(std::string_view text)
{
    if (!text.starts_with(prefix))
        return std::nullopt;
    try
    {
        return parse_issued_key(text);
    }
    catch (const error&)
    {
        return std::nullopt;
    }
}

std::string hash_key(std::string_view service, std::string_view key)
{
    std::string text;
    add_part(text, service);
    add_part(text, key);
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return hex64(hash.high64) + hex64(hash.low64);
}

std::string hash_request(std::string_view method, std::string_view target,
                         std::string_view body)
{
    std::string text;
    add_part(text, method);
    add_part(text, target);
    add_part(text, body);
    return hex64(XXH3_64bits(text.data(), text.size()));
}

} // namespace pomelorouter::protocol
