#include "platform_handler.hpp"
#include "tools/stand_in_process.hpp"

#include <boost/program_options/value_semantic.hpp>

namespace options = boost::program_options;
using namespace pomelorouter; // NOLINT(google-build-using-namespace): main file of a
                              // stand-in

namespace
{

void add_options(tools::stand_in_process& process)
{
    process.options().add_options()("retention-records",
                                    options::value<std::size_t>()->default_value(100000),
                                    "records kept in each stream")(
        "retention-ms", options::value<std::int64_t>()->default_value(0),
        "age at which a record expires; 0 for never")(
        "append-cap", options::value<std::size_t>()->default_value(0),
        "appends per second over all streams; 0 for no limit")(
        "list-lag-ms", options::value<std::int64_t>()->default_value(0),
        "delay until readers see a change of the instance list")(
        "loads-per-s", options::value<double>()->default_value(0.0),
        "model loads started per second; 0 for no limit")(
        "load-ms", options::value<std::int64_t>()->default_value(200),
        "duration of one model load at full speed")(
        "full-speed-loads", options::value<std::int64_t>()->default_value(24),
        "concurrent model loads at full speed")(
        "adapter-load-ms", options::value<std::int64_t>()->default_value(20),
        "duration of one adapter load at full speed")(
        "full-speed-adapters", options::value<std::int64_t>()->default_value(190),
        "concurrent adapter loads at full speed");
}

} // namespace

int main(int argc, char** argv)
{
    return tools::run_main(
        "platform_stand_in",
        [&]
        {
            tools::stand_in_process process(
                "platform_stand_in: log service, weight store and instance list");
            add_options(process);
            if (!process.parse(argc, argv))
                return 0;
            const auto& values = process.values();
            tools::platform_limits limits;
            limits.retention_records = values["retention-records"].as<std::size_t>();
            limits.retention_time =
                state::milliseconds(values["retention-ms"].as<std::int64_t>());
            limits.appends_per_s = values["append-cap"].as<std::size_t>();
            limits.list_lag =
                state::milliseconds(values["list-lag-ms"].as<std::int64_t>());
            tools::weight_store_options weights;
            weights.loads_per_s = values["loads-per-s"].as<double>();
            weights.load_time = state::milliseconds(values["load-ms"].as<std::int64_t>());
            weights.full_speed_loads = values["full-speed-loads"].as<std::int64_t>();
            weights.adapter_load_time =
                state::milliseconds(values["adapter-load-ms"].as<std::int64_t>());
            weights.full_speed_adapters =
                values["full-speed-adapters"].as<std::int64_t>();
            tools::platform_handler handler(process.context(), limits, weights);
            process.listen(handler);
            process.run();
            return 0;
        });
}
