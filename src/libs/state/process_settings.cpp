#include "state/process_settings.hpp"

#include "state/enum_table.hpp"
#include "state/error.hpp"
#include "state/json_reader.hpp"

#include <fstream>
#include <iterator>

namespace pomelorouter::state
{

namespace
{

constexpr std::array<enum_name<log_level>, 4> level_names{{
    {log_level::debug, "debug"},
    {log_level::info, "info"},
    {log_level::warning, "warning"},
    {log_level::error, "error"},
}};

} // namespace

std::string read_address(json_reader& reader, std::string_view key)
{
    const std::string address = reader.get_string(key);
    const std::size_t colon = address.rfind(':');
    const bool has_port =
        colon != std::string::npos && colon + 1 < address.size() &&
        address.find_first_not_of("0123456789", colon + 1) == std::string::npos &&
        address.size() - colon <= 6;
    if (!has_port || colon == 0)
        throw error(error_code::invalid_argument, reader.where(key), "expected ip:port");
    return address;
}

std::vector<std::string> read_address_list(json_reader& reader, std::string_view key)
{
    std::vector<std::string> result;
    for (const boost::json::value& item : reader.get_array(key))
    {
        if (!item.is_string())
        {
            throw error(error_code::wrong_type, reader.where(key),
                        "not a string; expected an array of ip:port");
        }
        result.emplace_back(item.get_string());
    }
    return result;
}

log_level read_log_level(json_reader& reader, std::string_view key)
{
    const auto known = value_of(level_names, reader.get_string(key, "info"));
    if (!known)
    {
        throw error(error_code::out_of_range, reader.where(key),
                    "unknown log level; expected debug, info, warning or error");
    }
    return *known;
}

process_settings read_process_settings(const boost::json::value& value,
                                       const std::string& place)
{
    json_reader reader(value, place);
    process_settings result;
    result.node_id = reader.get_string("node_id");
    if (result.node_id.empty() ||
        result.node_id.find_first_of(" /.") != std::string::npos)
    {
        throw error(error_code::invalid_argument, reader.where("node_id"),
                    "must not be empty or contain a space, '/' or '.'");
    }
    result.zone = reader.get_string("zone");
    result.listen = read_address(reader, "listen");
    result.peer_listen = read_address(reader, "peer_listen");
    if (reader.find("peer_advertise") != nullptr)
        result.peer_advertise = read_address(reader, "peer_advertise");
    result.platform = read_address(reader, "platform");
    if (reader.find("seed_peers") != nullptr)
        result.seed_peers = read_address_list(reader, "seed_peers");
    result.minimum_log_level = read_log_level(reader, "log_level");
    result.max_connections =
        reader.get_int("max_connections", 1, 1'000'000, result.max_connections);
    result.max_body_bytes =
        reader.get_int("max_body_bytes", 1024, 1LL << 30, result.max_body_bytes);
    result.read_timeout_ms =
        reader.get_int("read_timeout_ms", 10, 600000, result.read_timeout_ms);
    result.timeline_events =
        reader.get_int("timeline_events", 16, 1'000'000, result.timeline_events);
    reader.finish();
    return result;
}

std::string read_file(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        throw error(error_code::io_error, path, "cannot open the file");
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

} // namespace pomelorouter::state
