#include "platform_handler.hpp"
#include "tools/stand_in_process.hpp"

#include <boost/program_options/value_semantic.hpp>

namespace options = boost::program_options;
using namespace pomelorouter; // NOLINT(google-build-using-namespace): main file of a
                              // stand-in

int main(int argc, char** argv)
{
    return tools::run_main(
        "platform_stand_in",
        [&]
        {
            tools::stand_in_process process(
                "platform_stand_in: log service, weight store, list");
            process.options().add_options()(
                "retention-records", options::value<std::size_t>()->default_value(100000),
                "records kept in each stream");
            if (!process.parse(argc, argv))
                return 0;
            tools::platform_handler handler(
                process.context(),
                process.values()["retention-records"].as<std::size_t>());
            process.listen(handler);
            process.run();
            return 0;
        });
}
