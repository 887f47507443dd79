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

/// Limits on parsed JSON; deeper or larger input is refused.
struct json_limits
{
    std::size_t max_bytes = 4 * 1024 * 1024;
    std::size_t max_depth = 32;
    /// Lets strings hold any bytes; for texts that carry what others wrote.
    bool any_bytes = false;
};

/// Parses `text`; throws `error` naming `place` if it is not JSON or is too large.
boost::json::value parse_json(std::string_view text, const std::string& place,
                              const json_limits& limits = {});

/// Escapes one key for use in a JSON pointer.
std::string json_pointer_escape(std::string_view key);

/// Reads the members of one JSON object strictly; errors name the JSON pointer.
/// After the last member call `finish()`, which refuses keys that were not asked for.
class json_reader
{
public:
    /// `place` names the document, `pointer` the position of `value` in it.
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

    /// Throws `unknown_key` if the object has a member that was not read.
    void finish() const;

private:
    const boost::json::object* object;
    std::string place;
    std::string pointer;
    std::set<std::string, std::less<>> known;
};

} // namespace pomelorouter::state
