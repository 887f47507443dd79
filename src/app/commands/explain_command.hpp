#pragma once

#include "app/commands/exit_code.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <vector>

namespace pomelorouter::app
{

/// Arguments of `pomelorouter explain`.
struct explain_arguments
{
    /// Control address of the gateway.
    std::string gateway;
    /// Body of the query.
    boost::json::object query;
    bool prints_json = false;
};

/// Parses the arguments; prints the help and returns nothing for `--help`. Throws
/// `state::error` or `boost::program_options::error` naming the invalid argument.
std::optional<explain_arguments>
read_explain_arguments(const std::vector<std::string>& arguments);

/// Formats the answer of a gateway for a reader.
std::string format_explanation(const boost::json::value& answer);

/// `pomelorouter explain`: prints where a gateway would send a request. Throws
/// `state::error`, and `boost::program_options::error` if the arguments are invalid.
exit_code explain_command(const std::vector<std::string>& arguments);

} // namespace pomelorouter::app
