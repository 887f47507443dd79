#pragma once

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace pomelorouter::state
{

/// Formats JSON with one member per line, indented by two spaces.
std::string format_pretty(const boost::json::value& value);

enum class json_change_kind
{
    added,
    removed,
    changed,
};

/// One difference between two JSON documents.
struct json_change
{
    json_change_kind kind = json_change_kind::changed;
    /// JSON pointer of the value.
    std::string pointer;
    boost::json::value before;
    boost::json::value after;
};

/// Compares two documents member by member; arrays are compared as a whole.
std::vector<json_change> compare_json(const boost::json::value& before,
                                      const boost::json::value& after);

/// Formats a change as one line: `+ pointer value`, `- pointer value` or
/// `~ pointer before -> after`. Long values are truncated.
std::string format_change(const json_change& change);

} // namespace pomelorouter::state
