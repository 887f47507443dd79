#include "protocol/engine_api.hpp"

#include "state/enum_table.hpp"
#include "state/error.hpp"
#include "state/json_reader.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <limits>
#include <utility>

namespace pomelorouter::protocol
{

using state::json_reader;

namespace
{

constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t max_body_bytes = 64 * 1024 * 1024;

constexpr std::array<state::enum_name<order_step>, 3> step_names{{
    {order_step::load, "load"},
    {order_step::unload, "unload"},
    {order_step::set_role, "set_role"},
}};

boost::json::object format_resident(const state::resident_model& item)
{
    return {{"model", item.model},
            {"version", item.version},
            {"adapter", item.adapter},
            {"bytes", item.bytes},
            {"state", item.ready ? "ready" : "loading"}};
}

state::resident_model parse_resident(const boost::json::value& value,
                                     const std::string& pointer)
{
    json_reader reader(value, "inventory", pointer);
    state::resident_model item;
    item.model = reader.get_string("model");
    item.version = reader.get_string("version");
    item.adapter = reader.get_string("adapter", "");
    item.bytes = reader.get_int("bytes", 0, unlimited);
    item.ready = reader.get_string("state") == "ready";
    return item;
}

} // namespace

std::string format_engine_completion(const engine_completion& request)
{
    return boost::json::serialize(
        boost::json::object{{"model", request.model},
                            {"version", request.version},
                            {"adapter", request.adapter},
                            {"prompt", request.prompt},
                            {"max_tokens", request.max_tokens},
                            {"resume_from", request.resume_from},
                            {"priority", request.priority}});
}

engine_completion parse_engine_completion(std::string_view body)
{
    const auto value = state::parse_json(body, "body", {max_body_bytes, 32});
    json_reader reader(value, "body");
    engine_completion request;
    request.model = reader.get_string("model");
    request.version = reader.get_string("version", "");
    request.adapter = reader.get_string("adapter", "");
    request.prompt = reader.get_string("prompt");
    request.max_tokens = reader.get_int("max_tokens", 1, unlimited);
    request.resume_from = reader.get_int("resume_from", 0, unlimited, 0);
    request.priority = reader.get_int("priority", 0, 9, 0);
    reader.finish();
    return request;
}

std::string format_engine_chunk(const engine_chunk& chunk)
{
    boost::json::object body{{"id", chunk.id}, {"index", chunk.index}};
    if (chunk.finish_reason.empty())
        body["text"] = chunk.text;
    else
        body["finish_reason"] = chunk.finish_reason;
    return "data: " + boost::json::serialize(body) + "\n\n";
}

engine_chunk parse_engine_chunk(std::string_view data)
{
    const auto value = state::parse_json(data, "chunk");
    json_reader reader(value, "chunk");
    engine_chunk chunk;
    chunk.id = reader.get_string("id");
    chunk.index = reader.get_int("index", 0, unlimited);
    chunk.text = reader.get_string("text", "");
    chunk.finish_reason = reader.get_string("finish_reason", "");
    return chunk;
}

std::string_view to_string(order_step step)
{
    return name_of(step_names, step);
}

order_step parse_order_step(std::string_view name, const std::string& place)
{
    const auto step = state::value_of(step_names, name);
    if (!step)
    {
        throw state::error(state::error_code::out_of_range, place,
                           "unknown step; expected load, unload or set_role");
    }
    return *step;
}

std::string format_engine_order(const engine_order& order)
{
    return boost::json::serialize(boost::json::object{{"order_id", order.order_id},
                                                      {"fence", order.fence},
                                                      {"step", to_string(order.step)},
                                                      {"model", order.model},
                                                      {"version", order.version},
                                                      {"adapter", order.adapter},
                                                      {"bytes", order.bytes},
                                                      {"role", order.role}});
}

engine_order parse_engine_order(std::string_view body)
{
    const auto value = state::parse_json(body, "body");
    json_reader reader(value, "body");
    engine_order order;
    order.order_id = reader.get_string("order_id");
    order.fence = reader.get_uint64("fence");
    order.step = parse_order_step(reader.get_string("step"), reader.where("step"));
    order.model = reader.get_string("model", "");
    order.version = reader.get_string("version", "");
    order.adapter = reader.get_string("adapter", "");
    order.bytes = reader.get_int("bytes", 0, unlimited, 0);
    order.role = reader.get_string("role", "");
    reader.finish();
    return order;
}

std::string format_inventory(const state::engine_inventory& inventory)
{
    boost::json::array resident;
    for (const state::resident_model& item : inventory.resident)
        resident.push_back(format_resident(item));
    boost::json::array orders;
    for (const auto& order : inventory.orders)
    {
        orders.push_back(
            boost::json::object{{"order_id", order.order_id}, {"state", order.status}});
    }
    return boost::json::serialize(
        boost::json::object{{"engine", inventory.engine},
                            {"incarnation", inventory.incarnation},
                            {"checks_fence", inventory.checks_fence},
                            {"capacity_bytes", inventory.capacity_bytes},
                            {"used_bytes", inventory.used_bytes},
                            {"fence", inventory.fence},
                            {"role", inventory.role},
                            {"resident", std::move(resident)},
                            {"orders", std::move(orders)}});
}

state::engine_inventory parse_inventory(std::string_view body)
{
    const auto value = state::parse_json(body, "inventory");
    json_reader reader(value, "inventory");
    state::engine_inventory inventory;
    inventory.engine = reader.get_string("engine");
    inventory.incarnation = reader.get_uint64("incarnation");
    inventory.checks_fence = reader.get_bool("checks_fence", false);
    inventory.capacity_bytes = reader.get_int("capacity_bytes", 0, unlimited);
    inventory.used_bytes = reader.get_int("used_bytes", 0, unlimited);
    inventory.fence = reader.get_uint64("fence");
    inventory.role = reader.get_string("role", "");
    std::size_t index = 0;
    for (const boost::json::value& item : reader.get_array("resident"))
    {
        inventory.resident.push_back(
            parse_resident(item, "/resident/" + std::to_string(index++)));
    }
    index = 0;
    for (const boost::json::value& item : reader.get_array("orders"))
    {
        json_reader order(item, "inventory", "/orders/" + std::to_string(index++));
        inventory.orders.push_back(
            {order.get_string("order_id"), order.get_string("state")});
    }
    return inventory;
}

std::string format_load_report(const state::load_report& report)
{
    return boost::json::serialize(
        boost::json::object{{"age_ms", report.age_ms},
                            {"running", report.running},
                            {"queued", report.queued},
                            {"slots", report.slots},
                            {"tokens_per_s", report.tokens_per_s}});
}

state::load_report parse_load_report(std::string_view body)
{
    constexpr double max_rate = 1e12;
    const auto value = state::parse_json(body, "load report");
    json_reader reader(value, "load report");
    state::load_report report;
    report.age_ms = reader.get_int("age_ms", 0, unlimited);
    report.running = reader.get_int("running", 0, unlimited);
    report.queued = reader.get_int("queued", 0, unlimited);
    report.slots = reader.get_int("slots", 0, unlimited);
    report.tokens_per_s = reader.get_double("tokens_per_s", 0.0, max_rate, 0.0);
    return report;
}

std::string format_backend_error(std::string_view type)
{
    return boost::json::serialize(
        boost::json::object{{"error", boost::json::object{{"type", type}}}});
}

std::string parse_backend_error(std::string_view body)
{
    try
    {
        const auto value = state::parse_json(body, "backend error");
        json_reader outer(value, "backend error");
        json_reader inner(outer.require("error"), "backend error", "/error");
        return inner.get_string("type", "");
    }
    catch (const state::error&)
    {
        return {};
    }
}

} // namespace pomelorouter::protocol
