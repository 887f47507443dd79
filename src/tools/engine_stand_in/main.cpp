#include "engine_handler.hpp"
#include "tools/stand_in_process.hpp"

#include <boost/program_options/value_semantic.hpp>

namespace options = boost::program_options;
using namespace pomelorouter; // NOLINT(google-build-using-namespace): main file of a
                              // stand-in

int main(int argc, char** argv)
{
    return tools::run_main(
        "engine_stand_in",
        [&]
        {
            tools::stand_in_process process("engine_stand_in: a model engine");
            process.options().add_options()(
                "id", options::value<std::string>()->required(), "name of the engine")(
                "token-us", options::value<std::int64_t>()->default_value(1000),
                "time for one token of one request, in microseconds")(
                "slots", options::value<std::int64_t>()->default_value(16),
                "requests that run at once")(
                "resident", options::value<std::vector<std::string>>()->composing(),
                "model that is resident from the start")(
                "capacity-bytes",
                options::value<std::int64_t>()->default_value(80LL << 30),
                "accelerator memory");
            if (!process.parse(argc, argv))
                return 0;
            tools::engine_options settings;
            settings.id = process.values()["id"].as<std::string>();
            settings.token_time =
                state::microseconds(process.values()["token-us"].as<std::int64_t>());
            settings.slots = process.values()["slots"].as<std::int64_t>();
            settings.capacity_bytes =
                process.values()["capacity-bytes"].as<std::int64_t>();
            if (process.values().count("resident") > 0)
                settings.resident =
                    process.values()["resident"].as<std::vector<std::string>>();
            tools::engine_handler handler(process.context(), settings);
            process.listen(handler);
            process.run();
            return 0;
        });
}
