#include "protocol/settings_records.hpp"

#include "state/enum_table.hpp"
#include "state/error.hpp"
#include "state/json_reader.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace pomelorouter::protocol
{

using state::json_reader;

namespace
{

constexpr const char* document = "settings record";
constexpr const char* proposal_type = "settings_proposal";
constexpr const char* snapshot_type = "settings_snapshot";

constexpr std::array<state::enum_name<proposal_verdict>, 3> verdict_names{{
    {proposal_verdict::accepted, "accepted"},
    {proposal_verdict::conflict, "conflict"},
    {proposal_verdict::invalid, "invalid"},
}};

proposal_result parse_result(const boost::json::value& value, const std::string& pointer)
{
    json_reader reader(value, document, pointer);
    proposal_result result;
    result.id = reader.get_string("id");
    const auto verdict = state::value_of(verdict_names, reader.get_string("verdict"));
    if (!verdict)
    {
        throw state::error(state::error_code::out_of_range, reader.where("verdict"),
                           "unknown verdict; expected accepted, conflict or invalid");
    }
    result.verdict = *verdict;
    result.version = reader.get_uint64("version");
    result.reason = reader.get_string("reason", "");
    return result;
}

settings_proposal parse_proposal(json_reader& reader, record_header header)
{
    settings_proposal record;
    record.header = std::move(header);
    record.id = reader.get_string("id");
    record.base_version = reader.get_uint64("base_version");
    record.author = reader.get_string("author", "");
    record.tree = reader.require("tree");
    return record;
}

settings_snapshot parse_snapshot(json_reader& reader, record_header header)
{
    settings_snapshot record;
    record.header = std::move(header);
    record.version = reader.get_uint64("version");
    record.upto = reader.get_uint64("upto");
    record.tree = reader.require("tree");
    std::size_t index = 0;
    for (const boost::json::value& item : reader.get_array("recent"))
        record.recent.push_back(parse_result(item, "/recent/" + std::to_string(index++)));
    return record;
}

} // namespace

std::string_view to_string(proposal_verdict verdict)
{
    return name_of(verdict_names, verdict);
}

std::string format_settings_record(const settings_proposal& record)
{
    boost::json::object object = format_header(record.header);
    object["type"] = proposal_type;
    object["id"] = record.id;
    object["base_version"] = record.base_version;
    object["author"] = record.author;
    object["tree"] = record.tree;
    return boost::json::serialize(object);
}

std::string format_settings_record(const settings_snapshot& record)
{
    boost::json::object object = format_header(record.header);
    object["type"] = snapshot_type;
    object["version"] = record.version;
    object["upto"] = record.upto;
    object["tree"] = record.tree;
    boost::json::array recent;
    for (const proposal_result& result : record.recent)
    {
        recent.push_back(boost::json::object{{"id", result.id},
                                             {"verdict", to_string(result.verdict)},
                                             {"version", result.version},
                                             {"reason", result.reason}});
    }
    object["recent"] = std::move(recent);
    return boost::json::serialize(object);
}

settings_record parse_settings_record(std::string_view data)
{
    const auto value = state::parse_json(data, document);
    json_reader reader(value, document);
    record_header header = parse_header(reader);
    if (header.type == proposal_type)
        return parse_proposal(reader, std::move(header));
    if (header.type == snapshot_type)
        return parse_snapshot(reader, std::move(header));
    throw state::error(
        state::error_code::malformed_record, reader.where("type"),
        "unknown record type; expected settings_proposal or settings_snapshot");
}

} // namespace pomelorouter::protocol
