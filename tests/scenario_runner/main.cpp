#include "runner.hpp"

#include "state/error.hpp"
#include "state/process_settings.hpp"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/value_semantic.hpp>
#include <boost/program_options/variables_map.hpp>

#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <iostream>

namespace options = boost::program_options;
using namespace pomelorouter; // NOLINT(google-build-using-namespace): main file

namespace
{

constexpr unsigned default_limit_s = 150;

// The handler only exits: the kernel kills the child processes when the runner ends.
extern "C" void on_time_limit(int /*signal*/)
{
    constexpr char message[] = "error: the scenario exceeded its time limit\n";
    const auto ignored = ::write(STDERR_FILENO, message, sizeof(message) - 1);
    static_cast<void>(ignored);
    ::_exit(3);
}

int run_file(const std::string& file, const options::variables_map& values)
{
    namespace fs = std::filesystem;
    const fs::path path(file);
    const std::string binaries = values["binaries"].as<std::string>();
    const std::string run_folder =
        values["run-folder"].as<std::string>() + "/" + path.stem().string();
    fs::remove_all(run_folder);
    std::cout << "scenario " << path.stem().string() << " seed "
              << values["seed"].as<std::uint64_t>() << std::endl;
    auto script = scenario::parse_script(state::read_file(file));
    scenario::runner runner(binaries, run_folder, path.parent_path().string(),
                            values["seed"].as<std::uint64_t>());
    try
    {
        runner.run(std::move(script));
    }
    catch (const std::exception& failure)
    {
        std::cerr << "error: " << file << " " << failure.what()
                  << "\nevents of the nodes:\n"
                  << runner.timeline() << "logs of the processes: " << run_folder
                  << std::endl;
        return 1;
    }
    std::cout << "passed" << std::endl;
    return 0;
}

int run_all(int argc, char** argv)
{
    const std::string own_folder =
        std::filesystem::canonical("/proc/self/exe").parent_path().string();
    options::options_description description("scenario_runner [options] FILE...");
    description.add_options()("help,h", "show this help")(
        "seed", options::value<std::uint64_t>()->default_value(1),
        "seed of the workloads")(
        "limit", options::value<unsigned>()->default_value(default_limit_s),
        "time limit for each file, in seconds")(
        "binaries", options::value<std::string>()->default_value(own_folder),
        "folder of the programs")(
        "run-folder",
        options::value<std::string>()->default_value(own_folder + "/../scenarios"),
        "folder for settings files and logs")(
        "file", options::value<std::vector<std::string>>(), "scenario file");
    options::positional_options_description positional;
    positional.add("file", -1);
    options::variables_map values;
    options::store(options::command_line_parser(argc, argv)
                       .options(description)
                       .positional(positional)
                       .run(),
                   values);
    if (values.count("help") > 0 || values.count("file") == 0)
    {
        std::cout << description;
        return values.count("help") > 0 ? 0 : 2;
    }
    std::signal(SIGALRM, on_time_limit);
    int result = 0;
    for (const std::string& file : values["file"].as<std::vector<std::string>>())
    {
        ::alarm(values["limit"].as<unsigned>());
        result = std::max(result, run_file(file, values));
    }
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run_all(argc, argv);
    }
    catch (const std::exception& failure)
    {
        std::cerr << "error: " << failure.what() << std::endl;
        return 2;
    }
}
