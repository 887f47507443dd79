#include "app/commands/exit_code.hpp"
#include "app/commands/explain_command.hpp"
#include "app/commands/gateway_command.hpp"
#include "app/commands/node_client.hpp"
#include "app/commands/node_command.hpp"
#include "app/commands/settings_command.hpp"
#include "app/commands/status_command.hpp"
#include "app/commands/timeline_command.hpp"
#include "platform/adapter.hpp"
#include "state/error.hpp"

#include <boost/program_options/errors.hpp>

#include <array>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace
{

using pomelorouter::app::exit_code;

struct command
{
    std::string_view name;
    std::string_view help;
    exit_code (*run)(const std::vector<std::string>&);
};

exit_code run_gateway_command(const std::vector<std::string>& arguments)
{
    return pomelorouter::app::gateway_command(arguments,
                                              *pomelorouter::platform::make_adapter());
}

constexpr std::array<command, 6> commands{{
    {"gateway", "run a gateway on the platform of the settings file",
     run_gateway_command},
    {"node", "run a serving process", pomelorouter::app::node_command},
    {"settings", "check, apply and show the settings tree",
     pomelorouter::app::settings_command},
    {"explain", "print where a gateway would send a request, and why",
     pomelorouter::app::explain_command},
    {"status", "print the state that a node reports", pomelorouter::app::status_command},
    {"timeline", "merge the events of several nodes",
     pomelorouter::app::timeline_command},
}};

void print_help(std::ostream& output)
{
    output << "usage: pomelorouter COMMAND [OPTIONS]\n\ncommands:\n";
    for (const command& item : commands)
        output << "  " << item.name << std::string(12 - item.name.size(), ' ')
               << item.help << "\n";
    output << "\n'pomelorouter COMMAND --help' explains a command. Exit codes: 0 "
              "success, 2 usage or\n"
              "settings error, 3 refused by the system, 4 no node reachable, 5 internal "
              "error.\n";
}

exit_code run(const std::vector<std::string>& arguments)
{
    if (arguments.empty() || arguments.front() == "--help" || arguments.front() == "-h")
    {
        print_help(arguments.empty() ? std::cerr : std::cout);
        return arguments.empty() ? exit_code::usage : exit_code::success;
    }
    if (arguments.front() == "--version")
    {
        std::cout << "pomelorouter " << POMELOROUTER_VERSION << "\n";
        return exit_code::success;
    }
    for (const command& item : commands)
    {
        if (item.name == arguments.front())
            return item.run({arguments.begin() + 1, arguments.end()});
    }
    std::cerr << "pomelorouter: unknown command '" << arguments.front() << "'\n";
    print_help(std::cerr);
    return exit_code::usage;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return static_cast<int>(run({argv + 1, argv + argc}));
    }
    catch (const pomelorouter::app::nodes_unreachable& failure)
    {
        std::cerr << "pomelorouter: " << failure.what() << "\n";
        return static_cast<int>(exit_code::unreachable);
    }
    catch (const pomelorouter::state::error& failure)
    {
        std::cerr << "pomelorouter: " << failure.what() << "\n";
        return static_cast<int>(
            failure.code() == pomelorouter::state::error_code::refused_by_backend
                ? exit_code::refused
                : exit_code::usage);
    }
    catch (const boost::program_options::error& failure)
    {
        std::cerr << "pomelorouter: " << failure.what() << "\n";
        return static_cast<int>(exit_code::usage);
    }
    catch (const std::exception& failure)
    {
        std::cerr << "pomelorouter: " << failure.what() << "\n";
        return static_cast<int>(exit_code::internal);
    }
}
