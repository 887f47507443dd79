#include "protocol/platform_api.hpp"

#include "state/enum_table.hpp"
#include "state/error.hpp"
#include "state/json_reader.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace pomelorouter::protocol
{

using state::instance;
using state::instance_kind;
using state::instance_state;
using state::json_reader;

namespace
{

constexpr std::size_t max_page_bytes = 64 * 1024 * 1024;

boost::json::object format_instance(const instance& item)
{
    boost::json::object object;
    object["id"] = item.id;
    object["kind"] = to_string(item.kind);
    object["address"] = item.address;
    if (!item.peer_address.empty())
        object["peer_address"] = item.peer_address;
    object["zone"] = item.zone;
    object["state"] = to_string(item.state);
    object["incarnation"] = item.incarnation;
    if (!item.service.empty())
        object["service"] = item.service;
    return object;
}

instance_kind parse_kind(json_reader& reader)
{
    const std::string name = reader.get_string("kind");
    for (const auto kind :
         {instance_kind::node, instance_kind::engine, instance_kind::service})
    {
        if (name == to_string(kind))
            return kind;
    }
    throw state::error(state::error_code::out_of_range, reader.where("kind"),
                       "unknown kind; expected node, engine or service");
}

instance_state parse_state(json_reader& reader)
{
    const std::string name = reader.get_string("state");
    for (const auto value : {instance_state::live, instance_state::leaving})
    {
        if (name == to_string(value))
            return value;
    }
    throw state::error(state::error_code::out_of_range, reader.where("state"),
                       "unknown state; expected live or leaving");
}

} // namespace

std::string format_append_response(std::uint64_t offset)
{
    return boost::json::serialize(boost::json::object{{"offset", offset}});
}

std::uint64_t parse_append_response(std::string_view body)
{
    const auto value = state::parse_json(body, "append response");
    json_reader reader(value, "append response");
    return reader.get_uint64("offset");
}

std::string format_log_page(const log_page_body& page)
{
    boost::json::array records;
    for (const log_record_body& record : page.records)
        records.push_back(
            boost::json::object{{"offset", record.offset}, {"data", record.data}});
    return boost::json::serialize(boost::json::object{
        {"first", page.first}, {"next", page.next}, {"records", std::move(records)}});
}

log_page_body parse_log_page(std::string_view body)
{
    // Invalid UTF-8 is allowed here, so that a record truncated within a character does
    // not make the whole page unreadable. The reader of the stream checks each record.
    const auto value = state::parse_json(body, "log page", {max_page_bytes, 32, true});
    json_reader reader(value, "log page");
    log_page_body page;
    page.first = reader.get_uint64("first");
    page.next = reader.get_uint64("next");
    std::size_t index = 0;
    for (const boost::json::value& item : reader.get_array("records"))
    {
        json_reader record(item, "log page", "/records/" + std::to_string(index++));
        page.records.push_back({record.get_uint64("offset"), record.get_string("data")});
    }
    return page;
}

std::uint64_t parse_first_offset(std::string_view body)
{
    const auto value = state::parse_json(body, "truncation response");
    json_reader reader(value, "truncation response");
    return reader.get_uint64("first");
}

std::string format_instances(const std::vector<instance>& instances)
{
    boost::json::array list;
    for (const instance& item : instances)
        list.push_back(format_instance(item));
    return boost::json::serialize(boost::json::object{{"instances", std::move(list)}});
}

std::vector<instance> parse_instances(std::string_view body)
{
    const auto value = state::parse_json(body, "instance list", {max_page_bytes, 32});
    json_reader reader(value, "instance list");
    std::vector<instance> result;
    std::size_t index = 0;
    for (const boost::json::value& item : reader.get_array("instances"))
    {
        json_reader entry(item, "instance list", "/instances/" + std::to_string(index++));
        instance parsed;
        parsed.id = entry.get_string("id");
        parsed.kind = parse_kind(entry);
        parsed.address = entry.get_string("address");
        parsed.peer_address = entry.get_string("peer_address", "");
        parsed.zone = entry.get_string("zone");
        parsed.state = parse_state(entry);
        parsed.incarnation = entry.get_uint64("incarnation");
        parsed.service = entry.get_string("service", "");
        result.push_back(std::move(parsed));
    }
    return result;
}

} // namespace pomelorouter::protocol
