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

/// A change of the settings tree that an operator asks for.
struct settings_change
{
    boost::json::value tree;
    /// The version in force if absent.
    std::optional<std::uint64_t> base_version;
    std::string author;
    /// Whether to ask before the change is sent.
    bool ask = true;
};

/// Shows the changes, asks if wanted, sends the tree and returns with the verdict.
exit_code apply_settings(node_client& client, const settings_change& change,
                         std::istream& input, std::ostream& output);

} // namespace pomelorouter::app
