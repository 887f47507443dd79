#include "app/commands/gateway_command.hpp"

#include "app/commands/parse_options.hpp"
#include "app/gateway/process/gateway_process.hpp"
#include "state/error.hpp"
#include "state/gateway_settings.hpp"
#include "state/json_reader.hpp"
#include "state/process_settings.hpp"
#include "state/rate_limited_log.hpp"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>

namespace pomelorouter::app
{

namespace options = boost::program_options;

namespace
{

/// Environment variable with the path of the settings file; used without `--settings`.
constexpr const char* settings_variable = "POMELOROUTER_CONFIG";

std::string settings_path(const options::variables_map& values)
{
    if (values.count("settings") > 0)
        return values["settings"].as<std::string>();
    const char* const path = std::getenv(settings_variable);
    if (path == nullptr)
    {
        throw state::error(
            state::error_code::missing_key, "--settings",
            std::string("no settings file given, neither with this option nor in ") +
                settings_variable);
    }
    return path;
}

} // namespace

exit_code gateway_command(const std::vector<std::string>& arguments,
                          const platform_adapter& adapter)
{
    options::options_description description("pomelorouter gateway [--settings FILE]");
    description.add_options()("help,h", "show this help")(
        "settings,s", options::value<std::string>(),
        "JSON file with this process's own settings (docs/operations.md); by default "
        "the file that POMELOROUTER_CONFIG names")("check",
                                                   "check the settings file and exit");
    const auto parsed = parse_options(arguments, description);
    if (!parsed)
        return exit_code::success;
    const std::string path = settings_path(*parsed);
    const state::gateway_settings settings = state::read_gateway_settings(
        state::parse_json(state::read_file(path), path), path);
    if (parsed->count("check") > 0)
    {
        std::cout << path << ": valid\n";
        return exit_code::success;
    }
    state::init_rate_limited_logging(settings.node_id, settings.minimum_log_level,
                                     settings.log_lines_per_s);
    run_gateway(settings, path, adapter);
    return exit_code::success;
}

} // namespace pomelorouter::app
