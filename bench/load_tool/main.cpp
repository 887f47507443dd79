#include "caller.hpp"
#include "plan.hpp"
#include "state/error.hpp"
#include "state/json_reader.hpp"
#include "state/process_settings.hpp"
#include "summary.hpp"
#include "tools/stand_in_process.hpp"

#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>

namespace options = boost::program_options;
namespace bench = pomelorouter::bench;
namespace state = pomelorouter::state;
using strings = std::vector<std::string>;

namespace
{

options::options_description make_options()
{
    options::options_description description(
        "load_tool: sends an open-loop plan of requests to nodes or engines, or compares "
        "the summaries of earlier runs (--compare)");
    description.add_options()("help,h", "prints the options")(
        "node", options::value<strings>()->composing(),
        "ip:port of a node, or of an engine with --direct; may be repeated")(
        "direct", "sends to engines directly, without a node")(
        "shape", options::value<std::string>()->default_value("steady"),
        "shape of the load: steady, long_work or swing")(
        "seed", options::value<std::uint64_t>()->default_value(1), "seed of the plan")(
        "rate", options::value<double>()->default_value(50.0), "requests per second")(
        "duration-ms", options::value<std::int64_t>()->default_value(20000),
        "duration of the plan in ms")("models",
                                      options::value<std::int64_t>()->default_value(30),
                                      "number of models that the requests name")(
        "short-tokens", options::value<std::int64_t>()->default_value(16),
        "mean number of tokens of a short request")(
        "long-tokens", options::value<std::int64_t>()->default_value(400),
        "number of tokens of a long request")(
        "long-share", options::value<double>()->default_value(0.02),
        "fraction of long requests in the shape long_work")(
        "deadline-ms", options::value<std::int64_t>()->default_value(3000),
        "deadline of each request in ms")(
        "engines", options::value<std::int64_t>()->default_value(1),
        "number of engines behind the nodes")(
        "capacity-tokens-per-s", options::value<double>()->default_value(0.0),
        "tokens per second that all engines together can generate; 0 if unknown")(
        "name", options::value<std::string>()->default_value("run"),
        "name of the run in the table")("output",
                                        options::value<std::string>()->default_value(""),
                                        "JSON file for the summary of the run")(
        "compare", options::value<strings>()->multitoken(),
        "JSON files of earlier runs to show side by side");
    return description;
}

bench::plan_options read_plan_options(const options::variables_map& values)
{
    bench::plan_options plan;
    plan.shape = bench::parse_shape(values["shape"].as<std::string>());
    plan.seed = values["seed"].as<std::uint64_t>();
    plan.rate = values["rate"].as<double>();
    plan.duration = state::milliseconds(values["duration-ms"].as<std::int64_t>());
    plan.models = values["models"].as<std::int64_t>();
    plan.short_tokens = values["short-tokens"].as<std::int64_t>();
    plan.long_tokens = values["long-tokens"].as<std::int64_t>();
    plan.long_share = values["long-share"].as<double>();
    plan.deadline = state::milliseconds(values["deadline-ms"].as<std::int64_t>());
    return plan;
}

int compare(const strings& files)
{
    std::vector<boost::json::object> summaries;
    for (const std::string& file : files)
    {
        summaries.push_back(state::parse_json(state::read_file(file), file).as_object());
    }
    std::cout << bench::format_table(summaries);
    return 0;
}

int run(int argc, char** argv)
{
    const auto description = make_options();
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    if (values.count("help") > 0)
    {
        std::cout << description;
        return 0;
    }
    if (values.count("compare") > 0)
        return compare(values["compare"].as<strings>());
    if (values.count("node") == 0)
    {
        throw state::error(
            state::error_code::missing_key, "--node",
            "no address given; name at least one node or engine as ip:port");
    }
    const bench::plan_options plan = read_plan_options(values);
    bench::caller caller(values["node"].as<strings>(), plan.deadline,
                         values.count("direct") > 0);
    const auto results = caller.run(bench::make_plan(plan));
    bench::run_context context;
    context.name = values["name"].as<std::string>();
    context.engines = values["engines"].as<std::int64_t>();
    context.capacity_tokens_per_s = values["capacity-tokens-per-s"].as<double>();
    context.duration = plan.duration;
    const auto summary = bench::summarize(results, context);
    const auto output = values["output"].as<std::string>();
    if (!output.empty())
        std::ofstream(output) << boost::json::serialize(summary) << "\n";
    std::cout << bench::format_table({summary});
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    return pomelorouter::tools::run_main("load_tool", [&] { return run(argc, argv); });
}
