#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace pomelorouter::state
{
class json_reader;
}

namespace pomelorouter::protocol
{

/// Version of the record format that this program writes and understands.
inline constexpr std::int64_t record_schema = 1;

/// Members that every record of the log has.
struct record_header
{
    std::string type;
    std::int64_t schema = record_schema;
    /// Node id of the writer.
    std::string writer;
    std::uint64_t incarnation = 0;
    /// Position among the records of this writer's incarnation in this stream.
    std::uint64_t sequence = 0;
};

/// Begins a record; the members of its type are added by the caller.
boost::json::object format_header(const record_header& header);
/// Reads the header. Throws `unsupported_version` if the schema is newer than this
/// program's.
record_header parse_header(state::json_reader& reader);

} // namespace pomelorouter::protocol
