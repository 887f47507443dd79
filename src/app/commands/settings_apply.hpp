#pragma once

#include "app/commands/exit_code.hpp"
#include "app/commands/node_client.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>

namespace pomelorouter::app
{

/// A new settings tree that an operator wants to put in force.
struct settings_change
{
    boost::json::value tree;
    /// Version that the change is based on; the version in force if absent.
    std::optional<std::uint64_t> base_version;
    std::string author;
    /// Whether the operator must confirm the change before it is sent.
    bool ask_confirmation = true;
};

/// Prints the differences to the tree in force, asks for confirmation if required, sends
/// the tree and returns once the verdict is known. Throws `state::error` if no node
/// answers or a node rejects the request.
exit_code apply_settings(node_client& client, const settings_change& change,
                         std::istream& input, std::ostream& output);

} // namespace pomelorouter::app
