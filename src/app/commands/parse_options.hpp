#pragma once

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <optional>
#include <string>
#include <vector>

namespace pomelorouter::app
{

/// Parses the arguments of a command. For `--help` it prints the help to stdout and
/// returns nothing. Throws `boost::program_options::error` if the arguments are invalid.
std::optional<boost::program_options::variables_map>
parse_options(const std::vector<std::string>& arguments,
              const boost::program_options::options_description& description);

} // namespace pomelorouter::app
