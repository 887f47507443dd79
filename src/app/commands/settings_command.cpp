#include "app/commands/settings_command.hpp"

#include "app/commands/node_client.hpp"
#include "app/commands/settings_apply.hpp"
#include "state/error.hpp"
#include "state/json_reader.hpp"
#include "state/json_text.hpp"
#include "state/process_settings.hpp"
#include "state/settings.hpp"

#include <boost/program_options.hpp>

#include <array>
#include <iostream>
#include <string_view>

namespace pomelorouter::app
{

namespace options = boost::program_options;
using state::error;
using state::error_code;

namespace
{

constexpr const char* usage_text =
    "usage: pomelorouter settings ACTION [OPTIONS]\n"
    "\n"
    "  check FILE                   check a settings tree without a node\n"
    "  apply FILE --node ADDRESS    show the changes, ask, and put the tree in force\n"
    "  get --node ADDRESS           print the tree in force; its version goes to stderr\n"
    "  history --node ADDRESS       list the proposals that are still in the log\n"
    "\n"
    "A usual change:\n"
    "  pomelorouter settings get --node 10.0.0.1:8080 > tree.json\n"
    "  (edit tree.json)\n"
    "  pomelorouter settings check tree.json\n"
    "  pomelorouter settings apply tree.json --node 10.0.0.1:8080 --author linh\n"
    "\n"
    "A change is accepted only if no other one was accepted since the version that it "
    "is\n"
    "based on: the version in force when the command starts, or the one given with "
    "--base.\n"
    "After a conflict get the tree again, repeat the edit and apply it.\n"
    "\n";

options::options_description describe_options()
{
    options::options_description description("options");
    description.add_options()("help,h", "show this help")(
        "node,n", options::value<std::vector<std::string>>()->composing(),
        "ip:port of a node; several are tried in this order")(
        "base", options::value<std::uint64_t>(),
        "version that the change is based on; default: the version in force")(
        "author", options::value<std::string>()->default_value(""),
        "name kept with the change")("yes,y", "apply without asking");
    return description;
}

node_client make_client(const options::variables_map& values)
{
    if (values.count("node") == 0)
        throw error(error_code::missing_key, "--node",
                    "option is missing; expected ip:port of a node");
    return node_client(values["node"].as<std::vector<std::string>>());
}

std::string read_file_argument(const options::variables_map& values)
{
    if (values.count("file") == 0)
        throw error(error_code::missing_key, "FILE",
                    "argument is missing; expected the path of a settings tree");
    return values["file"].as<std::string>();
}

exit_code check(const options::variables_map& values)
{
    const std::string path = read_file_argument(values);
    const state::settings settings =
        state::resolve_settings(state::parse_json(state::read_file(path), path), path);
    std::size_t models = 0;
    std::size_t adapters = 0;
    for (const auto& [service, item] : settings.services)
    {
        models += item.models.size();
        for (const auto& [name, model] : item.models)
            adapters += model.adapters.size();
    }
    std::cout << path << ": valid; " << settings.services.size() << " services, "
              << models << " models, " << adapters << " adapters, "
              << settings.zones.size() << " availability zones\n";
    return exit_code::success;
}

exit_code apply(const options::variables_map& values)
{
    const std::string path = read_file_argument(values);
    settings_change change;
    change.tree = state::parse_json(state::read_file(path), path);
    state::resolve_settings(change.tree, path);
    if (values.count("base") > 0)
        change.base_version = values["base"].as<std::uint64_t>();
    change.author = values["author"].as<std::string>();
    change.ask_confirmation = values.count("yes") == 0;
    node_client client = make_client(values);
    return apply_settings(client, change, std::cin, std::cout);
}

exit_code get(const options::variables_map& values)
{
    node_client client = make_client(values);
    const boost::json::value answer =
        read_answer(client.get("/admin/settings"), "/admin/settings");
    state::json_reader reader(answer, "/admin/settings");
    std::cerr << "version " << reader.get_uint64("version") << "\n";
    std::cout << state::format_pretty(reader.require("tree"));
    return exit_code::success;
}

exit_code history(const options::variables_map& values)
{
    constexpr const char* place = "/admin/settings/history";
    node_client client = make_client(values);
    const boost::json::value answer = read_answer(client.get(place), place);
    state::json_reader reader(answer, place);
    for (const boost::json::value& value : reader.get_array("proposals"))
    {
        state::json_reader item(value, place, "/proposals");
        std::cout << "offset " << item.get_uint64("offset") << "  base "
                  << item.get_uint64("base_version") << "  " << item.get_string("verdict")
                  << "  version " << item.get_uint64("version") << "  author "
                  << item.get_string("author") << "  id " << item.get_string("id");
        const std::string reason = item.get_string("reason", "");
        std::cout << (reason.empty() ? "" : "  (" + reason + ")") << "\n";
    }
    return exit_code::success;
}

struct action_row
{
    std::string_view name;
    exit_code (*run)(const options::variables_map&);
};

constexpr std::array<action_row, 4> actions{{
    {"check", check},
    {"apply", apply},
    {"get", get},
    {"history", history},
}};

} // namespace

exit_code settings_command(const std::vector<std::string>& arguments)
{
    const options::options_description visible = describe_options();
    options::options_description all;
    all.add(visible);
    all.add_options()("action", options::value<std::string>())(
        "file", options::value<std::string>());
    options::positional_options_description positions;
    positions.add("action", 1).add("file", 1);
    options::variables_map values;
    options::store(
        options::command_line_parser(arguments).options(all).positional(positions).run(),
        values);
    options::notify(values);
    if (values.count("help") > 0)
    {
        std::cout << usage_text << visible;
        return exit_code::success;
    }
    const std::string name =
        values.count("action") > 0 ? values["action"].as<std::string>() : std::string();
    for (const action_row& row : actions)
    {
        if (row.name == name)
            return row.run(values);
    }
    std::cerr << usage_text << visible;
    throw error(error_code::invalid_argument, "ACTION",
                "missing or unknown; expected check, apply, get or history");
}

} // namespace pomelorouter::app
