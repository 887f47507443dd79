#include "service_handler.hpp"
#include "tools/stand_in_process.hpp"

int main(int argc, char** argv)
{
    namespace tools = pomelorouter::tools;
    return tools::run_main(
        "service_stand_in",
        [&]
        {
            tools::stand_in_process process(
                "service_stand_in: a plain service that counts orders");
            if (!process.parse(argc, argv))
                return 0;
            tools::service_handler handler;
            process.listen(handler);
            process.run();
            return 0;
        });
}
