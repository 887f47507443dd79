#include "service_handler.hpp"
#include "tools/stand_in_process.hpp"

#include <boost/program_options/value_semantic.hpp>

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    namespace tools = pomelorouter::tools;
    return tools::run_main(
        "service_stand_in",
        [&]
        {
            tools::stand_in_process process(
                "service_stand_in: a plain service that counts orders");
            process.options().add_options()(
                "run-ms", options::value<std::int64_t>()->default_value(0),
                "duration of one request, in milliseconds");
            if (!process.parse(argc, argv))
                return 0;
            tools::service_handler handler(
                process.context(), pomelorouter::state::milliseconds(
                                       process.values()["run-ms"].as<std::int64_t>()));
            process.listen(handler);
            process.run();
            return 0;
        });
}
