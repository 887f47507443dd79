#include "protocol/record_header.hpp"

#include "state/error.hpp"
#include "state/json_reader.hpp"

#include <limits>

namespace pomelorouter::protocol
{

boost::json::object format_header(const record_header& header)
{
    return {{"type", header.type},
            {"schema", header.schema},
            {"writer", header.writer},
            {"incarnation", header.incarnation},
            {"sequence", header.sequence}};
}

record_header parse_header(state::json_reader& reader)
{
    record_header header;
    header.type = reader.get_string("type");
    header.schema = reader.get_int("schema", 1, std::numeric_limits<std::int64_t>::max());
    if (header.schema > record_schema)
    {
        throw state::error(state::error_code::unsupported_version, reader.where("schema"),
                           "newer than the supported schema " +
                               std::to_string(record_schema));
    }
    header.writer = reader.get_string("writer");
    header.incarnation = reader.get_uint64("incarnation");
    header.sequence = reader.get_uint64("sequence");
    return header;
}

} // namespace pomelorouter::protocol
