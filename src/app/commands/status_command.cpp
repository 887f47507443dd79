#include "app/commands/status_command.hpp"

#include "app/commands/node_client.hpp"
#include "app/commands/parse_options.hpp"
#include "state/json_reader.hpp"
#include "state/json_text.hpp"

#include <boost/program_options.hpp>

#include <iostream>

namespace pomelorouter::app
{

namespace options = boost::program_options;

exit_code status_command(const std::vector<std::string>& arguments)
{
    options::options_description description(
        "usage: pomelorouter status --node ADDRESS [--node ADDRESS ...]\n\n"
        "Prints the state of the first node that answers as JSON: its readiness, the "
        "settings\nversion, nodes, engines and models with their copies. Compare "
        "settings_version\nbetween nodes to see whether a change is in force "
        "everywhere.\n\noptions");
    description.add_options()("help,h", "show this help")(
        "node,n", options::value<std::vector<std::string>>()->composing()->required(),
        "ip:port of a node; several are tried in this order");
    const auto parsed = parse_options(arguments, description);
    if (!parsed)
        return exit_code::success;
    const options::variables_map& values = *parsed;
    node_client client(values["node"].as<std::vector<std::string>>());
    std::cout << state::format_pretty(
        read_answer(client.get("/admin/status"), "/admin/status"));
    return exit_code::success;
}

} // namespace pomelorouter::app
