#include "app/commands/parse_options.hpp"

#include <boost/program_options/parsers.hpp>

#include <iostream>

namespace pomelorouter::app
{

namespace options = boost::program_options;

std::optional<options::variables_map>
parse_options(const std::vector<std::string>& arguments,
              const options::options_description& description)
{
    options::variables_map values;
    options::store(options::command_line_parser(arguments).options(description).run(),
                   values);
    if (values.count("help") > 0)
    {
        std::cout << description;
        return std::nullopt;
    }
    options::notify(values);
    return values;
}

} // namespace pomelorouter::app
