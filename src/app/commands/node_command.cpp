#include "app/commands/node_command.hpp"

#include "app/commands/parse_options.hpp"
#include "app/node/node_process.hpp"
#include "state/error.hpp"
#include "state/json_reader.hpp"
#include "state/process_settings.hpp"

#include <boost/program_options.hpp>

#include <iostream>

namespace pomelorouter::app
{

namespace options = boost::program_options;

exit_code node_command(const std::vector<std::string>& arguments)
{
    options::options_description description("pomelorouter node --settings FILE");
    description.add_options()("help,h", "show this help")(
        "settings,s", options::value<std::string>()->required(),
        "JSON file with this process's own settings: node_id, zone, listen, peer_listen, "
        "platform (docs/operations.md)")("check", "check the settings file and exit");
    const auto parsed = parse_options(arguments, description);
    if (!parsed)
        return exit_code::success;
    const options::variables_map& values = *parsed;
    const auto path = values["settings"].as<std::string>();
    const state::process_settings settings = state::read_process_settings(
        state::parse_json(state::read_file(path), path), path);
    if (values.count("check") > 0)
    {
        std::cout << path << ": valid\n";
        return exit_code::success;
    }
    run_node(settings);
    return exit_code::success;
}

} // namespace pomelorouter::app
