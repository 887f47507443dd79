#include "engine_handler.hpp"
#include "tools/stand_in_process.hpp"

#include <boost/program_options/value_semantic.hpp>

namespace options = boost::program_options;
using namespace pomelorouter; // NOLINT(google-build-using-namespace): main file of a
                              // stand-in

namespace
{

void add_options(tools::stand_in_process& process)
{
    const auto number = [](std::int64_t value)
    { return options::value<std::int64_t>()->default_value(value); };
    process.options().add_options()("id", options::value<std::string>()->required(),
                                    "name of the engine")(
        "incarnation", options::value<std::uint64_t>()->default_value(1),
        "incarnation of the process")("checks-fence", options::bool_switch(),
                                      "refuse orders with an old fencing token")(
        "role", options::value<std::string>()->default_value(""), "role at the start")(
        "token-us", number(1000), "time for one token of one request, in microseconds")(
        "block-us", number(200), "time for 64 uncached bytes of a prompt")(
        "slots", number(16), "requests that run concurrently")(
        "max-queue", number(64), "requests that wait for a slot")(
        "resident", options::value<std::vector<std::string>>()->composing(),
        "model[:adapter][@bytes] that is resident from the start")(
        "capacity-bytes", number(80LL << 30), "accelerator memory")(
        "kv-bytes", number(64LL << 20), "KV cache of one running request")(
        "prefix-blocks", number(1024), "blocks of 64 bytes in the prefix cache")(
        "report-lag-ms", number(0), "age of the load report, in milliseconds")(
        "event-lag-ms", number(0), "delay of cache events")(
        "event-gap", number(0), "every n-th cache event is lost; 0 for none")(
        "load-ms", number(200), "duration of a load without a weight store")(
        "unload-ms", number(20), "duration of an unload")(
        "platform", options::value<std::string>()->default_value(""),
        "address of the weight store");
}

tools::engine_options read_options(const options::variables_map& values)
{
    const auto number = [&](const char* name) { return values[name].as<std::int64_t>(); };
    tools::engine_options result;
    result.id = values["id"].as<std::string>();
    result.incarnation = values["incarnation"].as<std::uint64_t>();
    result.checks_fence = values["checks-fence"].as<bool>();
    result.role = values["role"].as<std::string>();
    result.token_time = state::microseconds(number("token-us"));
    result.block_time = state::microseconds(number("block-us"));
    result.slots = number("slots");
    result.max_queue = static_cast<std::size_t>(number("max-queue"));
    result.capacity_bytes = number("capacity-bytes");
    result.cache_bytes = number("kv-bytes");
    result.prefix_blocks = static_cast<std::size_t>(number("prefix-blocks"));
    result.report_lag = state::milliseconds(number("report-lag-ms"));
    result.event_lag = state::milliseconds(number("event-lag-ms"));
    result.event_gap = number("event-gap");
    result.load_time = state::milliseconds(number("load-ms"));
    result.unload_time = state::milliseconds(number("unload-ms"));
    result.platform = values["platform"].as<std::string>();
    if (values.count("resident") > 0)
        result.resident = values["resident"].as<std::vector<std::string>>();
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    return tools::run_main(
        "engine_stand_in",
        [&]
        {
            tools::stand_in_process process("engine_stand_in: a model engine");
            add_options(process);
            if (!process.parse(argc, argv))
                return 0;
            tools::engine_handler handler(process.context(),
                                          read_options(process.values()));
            process.listen(handler);
            process.run();
            return 0;
        });
}
