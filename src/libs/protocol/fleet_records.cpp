#include "protocol/fleet_records.hpp"

#include "state/enum_table.hpp"
#include "state/error.hpp"
#include "state/json_reader.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <limits>
#include <utility>

namespace pomelorouter::protocol
{

using boost::json::array;
using boost::json::object;
using boost::json::value;
using state::json_reader;

namespace
{

constexpr const char* document = "fleet record";
constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max();

constexpr std::array<state::enum_name<order_result>, 3> result_names{{
    {order_result::done, "done"},
    {order_result::failed, "failed"},
    {order_result::not_sent, "not_sent"},
}};

constexpr std::array<state::enum_name<outcome_basis>, 3> basis_names{{
    {outcome_basis::author, "author"},
    {outcome_basis::fence, "fence"},
    {outcome_basis::author_dead, "author_dead"},
}};

template <typename Enum, std::size_t Size>
Enum read_enum(json_reader& reader, std::string_view key,
               const std::array<state::enum_name<Enum>, Size>& names)
{
    const auto found = state::value_of(names, reader.get_string(key));
    if (found)
        return *found;
    std::string expected = "unknown value; expected one of";
    for (const auto& row : names)
        expected += " " + std::string(row.name);
    throw state::error(state::error_code::out_of_range, reader.where(key), expected);
}

// Resident models have the members of an inventory without `state`: the ledger counts all
// of them as ready.
array format_resident(const std::vector<state::resident_model>& items)
{
    array result;
    for (const state::resident_model& item : items)
    {
        result.push_back(object{{"model", item.model},
                                {"version", item.version},
                                {"adapter", item.adapter},
                                {"bytes", item.bytes}});
    }
    return result;
}

template <typename Item, typename Parse>
std::vector<Item> read_list(json_reader& reader, std::string_view key, Parse parse)
{
    std::vector<Item> result;
    std::size_t index = 0;
    for (const value& item : reader.get_array(key))
    {
        json_reader child(item, document,
                          reader.pointer_of(key) + "/" + std::to_string(index++));
        result.push_back(parse(child));
    }
    return result;
}

state::resident_model read_resident(json_reader& reader)
{
    state::resident_model item;
    item.model = reader.get_string("model");
    item.version = reader.get_string("version");
    item.adapter = reader.get_string("adapter", "");
    item.bytes = reader.get_int("bytes", 0, unlimited);
    item.ready = true;
    return item;
}

object format_members(const lease_claim& record)
{
    return {{"type", "lease_claim"},
            {"scope", record.scope},
            {"previous_epoch", record.previous_epoch}};
}

object format_members(const lease_renew& record)
{
    return {{"type", "lease_renew"}, {"scope", record.scope}, {"epoch", record.epoch}};
}

object format_members(const lease_release& record)
{
    return {{"type", "lease_release"}, {"scope", record.scope}, {"epoch", record.epoch}};
}

object format_members(const order_intent& record)
{
    return {{"type", "order_intent"},
            {"order_id", record.order_id},
            {"epoch", record.epoch},
            {"engine", record.engine},
            {"engine_incarnation", record.engine_incarnation},
            {"step", to_string(record.step)},
            {"model", record.model},
            {"version", record.version},
            {"adapter", record.adapter},
            {"bytes", record.bytes},
            {"role", record.role}};
}

object format_members(const order_outcome& record)
{
    return {{"type", "order_outcome"},
            {"order_id", record.order_id},
            {"result", to_string(record.result)},
            {"basis", to_string(record.basis)},
            {"epoch", record.epoch}};
}

object format_members(const engine_seen& record)
{
    return {{"type", "engine_seen"},
            {"epoch", record.epoch},
            {"engine", record.engine},
            {"engine_incarnation", record.engine_incarnation},
            {"base", record.base},
            {"checks_fence", record.checks_fence},
            {"fence", record.fence},
            {"limit_bytes", record.limit_bytes},
            {"resident", format_resident(record.resident)}};
}

object format_members(const engine_gone& record)
{
    return {{"type", "engine_gone"}, {"epoch", record.epoch}, {"engine", record.engine}};
}

object format_members(const fleet_snapshot& record);

template <typename Record>
object format_with_header(const Record& record)
{
    object result = format_header(record.header);
    for (auto& member : format_members(record))
        result[member.key()] = std::move(member.value());
    return result;
}

object format_lease(const lease_state& lease)
{
    return {{"scope", lease.scope},
            {"holder", lease.holder},
            {"incarnation", lease.incarnation},
            {"epoch", lease.epoch},
            {"held", lease.held}};
}

object format_engine(const engine_entry& entry)
{
    array orders;
    for (const order_intent& order : entry.open_orders)
        orders.push_back(format_with_header(order));
    return {{"engine", entry.engine},
            {"incarnation", entry.incarnation},
            {"scope", entry.scope},
            {"changed", entry.changed},
            {"checks_fence", entry.checks_fence},
            {"awaiting_fence", entry.awaiting_fence},
            {"limit_bytes", entry.limit_bytes},
            {"resident", format_resident(entry.resident)},
            {"open_orders", std::move(orders)}};
}

object format_members(const fleet_snapshot& record)
{
    array leases;
    for (const lease_state& lease : record.leases)
        leases.push_back(format_lease(lease));
    array engines;
    for (const engine_entry& entry : record.engines)
        engines.push_back(format_engine(entry));
    array writers;
    for (const writer_position& writer : record.writers)
    {
        writers.push_back(object{{"writer", writer.writer},
                                 {"incarnation", writer.incarnation},
                                 {"sequence", writer.sequence},
                                 {"offset", writer.offset}});
    }
    return {{"type", "fleet_snapshot"},
            {"upto", record.upto},
            {"leases", std::move(leases)},
            {"engines", std::move(engines)},
            {"writers", std::move(writers)}};
}

lease_state read_lease(json_reader& reader)
{
    lease_state lease;
    lease.scope = reader.get_string("scope");
    lease.holder = reader.get_string("holder");
    lease.incarnation = reader.get_uint64("incarnation");
    lease.epoch = reader.get_uint64("epoch");
    lease.held = reader.get_bool("held", true);
    return lease;
}

writer_position read_writer(json_reader& reader)
{
    writer_position position;
    position.writer = reader.get_string("writer");
    position.incarnation = reader.get_uint64("incarnation");
    position.sequence = reader.get_uint64("sequence");
    position.offset = reader.get_uint64("offset");
    return position;
}

lease_claim read_claim(json_reader& reader, record_header header)
{
    lease_claim record;
    record.header = std::move(header);
    record.scope = reader.get_string("scope");
    record.previous_epoch = reader.get_uint64("previous_epoch");
    return record;
}

template <typename Record>
Record read_renew_or_release(json_reader& reader, record_header header)
{
    Record record;
    record.header = std::move(header);
    record.scope = reader.get_string("scope");
    record.epoch = reader.get_uint64("epoch");
    return record;
}

order_intent read_intent(json_reader& reader, record_header header)
{
    order_intent record;
    record.header = std::move(header);
    record.order_id = reader.get_string("order_id");
    record.epoch = reader.get_uint64("epoch");
    record.engine = reader.get_string("engine");
    record.engine_incarnation = reader.get_uint64("engine_incarnation");
    record.step = parse_order_step(reader.get_string("step"), reader.where("step"));
    record.model = reader.get_string("model", "");
    record.version = reader.get_string("version", "");
    record.adapter = reader.get_string("adapter", "");
    record.bytes = reader.get_int("bytes", 0, unlimited, 0);
    record.role = reader.get_string("role", "");
    return record;
}

order_outcome read_outcome(json_reader& reader, record_header header)
{
    order_outcome record;
    record.header = std::move(header);
    record.order_id = reader.get_string("order_id");
    record.result = read_enum(reader, "result", result_names);
    record.basis = read_enum(reader, "basis", basis_names);
    record.epoch = reader.get_uint64("epoch");
    return record;
}

engine_seen read_seen(json_reader& reader, record_header header)
{
    engine_seen record;
    record.header = std::move(header);
    record.epoch = reader.get_uint64("epoch");
    record.engine = reader.get_string("engine");
    record.engine_incarnation = reader.get_uint64("engine_incarnation");
    record.base = reader.get_uint64("base");
    record.checks_fence = reader.get_bool("checks_fence", false);
    record.fence = reader.get_uint64("fence");
    record.limit_bytes = reader.get_int("limit_bytes", 0, unlimited);
    record.resident = read_list<state::resident_model>(reader, "resident", read_resident);
    return record;
}

engine_gone read_gone(json_reader& reader, record_header header)
{
    engine_gone record;
    record.header = std::move(header);
    record.epoch = reader.get_uint64("epoch");
    record.engine = reader.get_string("engine");
    return record;
}

engine_entry read_engine(json_reader& reader)
{
    engine_entry entry;
    entry.engine = reader.get_string("engine");
    entry.incarnation = reader.get_uint64("incarnation");
    entry.scope = reader.get_string("scope");
    entry.changed = reader.get_uint64("changed");
    entry.checks_fence = reader.get_bool("checks_fence", false);
    entry.awaiting_fence = reader.get_bool("awaiting_fence", false);
    entry.limit_bytes = reader.get_int("limit_bytes", 0, unlimited);
    entry.resident = read_list<state::resident_model>(reader, "resident", read_resident);
    entry.open_orders = read_list<order_intent>(
        reader, "open_orders",
        [](json_reader& order) { return read_intent(order, parse_header(order)); });
    return entry;
}

fleet_snapshot read_snapshot(json_reader& reader, record_header header)
{
    fleet_snapshot record;
    record.header = std::move(header);
    record.upto = reader.get_uint64("upto");
    record.leases = read_list<lease_state>(reader, "leases", read_lease);
    record.engines = read_list<engine_entry>(reader, "engines", read_engine);
    record.writers = read_list<writer_position>(reader, "writers", read_writer);
    return record;
}

} // namespace

std::string_view to_string(order_result result)
{
    return name_of(result_names, result);
}

std::string_view to_string(outcome_basis basis)
{
    return name_of(basis_names, basis);
}

std::string format_fleet_record(const fleet_record& record)
{
    return std::visit([](const auto& item)
                      { return boost::json::serialize(format_with_header(item)); },
                      record);
}

fleet_record parse_fleet_record(std::string_view data)
{
    const auto parsed = state::parse_json(data, document);
    json_reader reader(parsed, document);
    record_header header = parse_header(reader);
    const std::string type = header.type;
    if (type == "lease_claim")
        return read_claim(reader, std::move(header));
    if (type == "lease_renew")
        return read_renew_or_release<lease_renew>(reader, std::move(header));
    if (type == "lease_release")
        return read_renew_or_release<lease_release>(reader, std::move(header));
    if (type == "order_intent")
        return read_intent(reader, std::move(header));
    if (type == "order_outcome")
        return read_outcome(reader, std::move(header));
    if (type == "engine_seen")
        return read_seen(reader, std::move(header));
    if (type == "engine_gone")
        return read_gone(reader, std::move(header));
    if (type == "fleet_snapshot")
        return read_snapshot(reader, std::move(header));
    throw state::error(state::error_code::malformed_record, reader.where("type"),
                       "unknown record type; expected the type of a fleet record");
}

const record_header& header_of(const fleet_record& record)
{
    return std::visit(
        [](const auto& item) -> const record_header& { return item.header; }, record);
}

record_header& header_of(fleet_record& record)
{
    return std::visit([](auto& item) -> record_header& { return item.header; }, record);
}

} // namespace pomelorouter::protocol
