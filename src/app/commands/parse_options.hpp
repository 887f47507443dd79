#pragma once

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <optional>
#include <string>
#include <vector>

namespace pomelorouter::app
{

/// Parses the arguments of a command. Returns nothing if help was asked for, which is
/// then printed; throws `boost::program_options::error` on a wrong command line.
std::optional<boost::program_options::variables_map>
parse_options(const std::vector<std::string>& arguments,
              const boost::program_options::options_description& description);

} // namespace pomelorouter::app
