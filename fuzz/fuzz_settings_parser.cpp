#include "protocol/settings_records.hpp"
#include "state/error.hpp"
#include "state/json_reader.hpp"
#include "state/process_settings.hpp"
#include "state/settings.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

using pomelorouter::protocol::parse_settings_record;
using pomelorouter::state::error;
using pomelorouter::state::parse_json;
using pomelorouter::state::read_process_settings;
using pomelorouter::state::resolve_settings;

namespace
{

template <typename Parse>
void ignore_parse_errors(Parse parse)
{
    try
    {
        parse();
    }
    catch (const error&)
    {
        // A parser must report malformed input by this exception only.
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    ignore_parse_errors([&] { resolve_settings(parse_json(text, "input"), "input"); });
    ignore_parse_errors([&]
                        { read_process_settings(parse_json(text, "input"), "input"); });
    ignore_parse_errors([&] { parse_settings_record(text); });
    return 0;
}
