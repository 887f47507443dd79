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

/// Version of the record format that this program writes, and the newest that it reads.
inline constexpr std::int64_t record_schema = 1;

/// Members that all log records have.
struct record_header
{
    std::string type;
    std::int64_t schema = record_schema;
    /// Node id of the writer.
    std::string writer;
    std::uint64_t incarnation = 0;
    /// Position of the record among those that this incarnation of the writer has
    /// appended to the stream.
    std::uint64_t sequence = 0;
};

/// Returns the header members of a record; the caller adds the members of its type.
boost::json::object format_header(const record_header& header);
/// Parses the header. Throws `state::error`, with `unsupported_version` if the schema is
/// newer than `record_schema`.
record_header parse_header(state::json_reader& reader);

} // namespace pomelorouter::protocol
