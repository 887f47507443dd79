#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::state
{

/// Limits on parsed JSON. Input that exceeds a limit is rejected.
struct json_limits
{
    std::size_t max_bytes = 4 * 1024 * 1024;
    std::size_t max_depth = 32;
    /// Accepts invalid UTF-8 in strings, for documents that embed data of other writers.
    bool allow_invalid_utf8 = false;
};

/// Parses `text`. Throws `error` with `place` if it is not valid JSON or is too large.
boost::json::value parse_json(std::string_view text, const std::string& place,
                              const json_limits& limits = {});

/// Escapes one key for use in a JSON pointer.
std::string json_pointer_escape(std::string_view key);

/// Reads and validates the members of a JSON object. Errors contain the JSON pointer.
/// Call `finish()` after the last member to reject members that were not read.
class json_reader
{
public:
    /// `place` names the document; `pointer` is the JSON pointer of `value` in it. Keeps
    /// a reference to `value`.
    json_reader(const boost::json::value& value, std::string place,
                std::string pointer = {});

    std::string get_string(std::string_view key);
    std::string get_string(std::string_view key, std::string fallback);
    std::int64_t get_int(std::string_view key, std::int64_t low, std::int64_t high);
    std::int64_t get_int(std::string_view key, std::int64_t low, std::int64_t high,
                         std::int64_t fallback);
    std::uint64_t get_uint64(std::string_view key);
    double get_double(std::string_view key, double low, double high, double fallback);
    bool get_bool(std::string_view key, bool fallback);
    /// Returns the member, or null if it is absent.
    const boost::json::value* find(std::string_view key);
    /// Returns the member; throws if it is absent.
    const boost::json::value& require(std::string_view key);
    const boost::json::object& get_object(std::string_view key);
    const boost::json::array& get_array(std::string_view key);

    /// Returns the place and JSON pointer of a member, for errors about its value.
    std::string where(std::string_view key) const;
    const std::string& document() const { return this->place; }
    std::string pointer_of(std::string_view key) const;

    /// Throws `error` (`unknown_key`) if the object has a member that was not read.
    void finish() const;

private:
    const boost::json::object* object;
    std::string place;
    std::string pointer;
    std::set<std::string, std::less<>> known;
};

} // namespace pomelorouter::state
