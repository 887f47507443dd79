#include "scenario_runner/script.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    namespace scenario = pomelorouter::scenario;
    try
    {
        scenario::parse_script(std::string(reinterpret_cast<const char*>(data), size));
    }
    catch (const scenario::scenario_error&)
    {
        // The parser must report malformed input by this exception only, which names the
        // line.
    }
    return 0;
}
