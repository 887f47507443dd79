#include "tools/fault_state.hpp"

#include "state/enum_table.hpp"
#include "state/error.hpp"
#include "state/json_reader.hpp"

#include <array>
#include <chrono>

namespace pomelorouter::tools
{

using state::error;
using state::error_code;
using state::json_reader;

namespace
{

constexpr std::int64_t max_count = 1'000'000'000;
constexpr std::int64_t max_ms = 3'600'000;

constexpr std::array<state::enum_name<outage>, 3> outage_names{{
    {outage::none, "no"},
    {outage::unavailable, "unavailable"},
    {outage::refused, "refused"},
}};

constexpr std::array<state::enum_name<leaving_mode>, 3> leaving_names{{
    {leaving_mode::no, "no"},
    {leaving_mode::noted, "noted"},
    {leaving_mode::refuse, "refuse"},
}};

template <typename Enum, std::size_t Size>
void read_enum(json_reader& reader, std::string_view key,
               const std::array<state::enum_name<Enum>, Size>& names, Enum& value,
               const char* expected)
{
    if (reader.find(key) == nullptr)
        return;
    const auto parsed = state::value_of(names, reader.get_string(key));
    if (!parsed)
        throw error(error_code::out_of_range, reader.where(key), expected);
    value = *parsed;
}

state::milliseconds read_ms(json_reader& reader, std::string_view key,
                            state::milliseconds fallback)
{
    return state::milliseconds(reader.get_int(key, 0, max_ms, fallback.count()));
}

void read_slow(json_reader& reader, fault_state& faults)
{
    constexpr double max_factor = 1e6;
    const boost::json::value* value = reader.find("slow");
    if (value == nullptr)
        return;
    json_reader slow(*value, reader.document(), reader.pointer_of("slow"));
    faults.slow_factor = slow.get_double("factor", 0.001, max_factor, 1.0);
    faults.request_delay = read_ms(slow, "delay_ms", state::milliseconds(0));
    slow.finish();
}

void read_lost_responses(json_reader& reader, fault_state& faults)
{
    const boost::json::value* value = reader.find("lose_answers");
    if (value == nullptr)
        return;
    json_reader lose(*value, reader.document(), reader.pointer_of("lose_answers"));
    faults.lost_response_path = lose.get_string("path", "/");
    faults.lost_response_count = lose.get_int("count", 0, max_count);
    lose.finish();
}

void read_crossed(json_reader& reader, fault_state& faults)
{
    const boost::json::value* value = reader.find("crossed");
    if (value == nullptr)
        return;
    json_reader crossed(*value, reader.document(), reader.pointer_of("crossed"));
    faults.crossed_kind = crossed.get_string("kind");
    if (faults.crossed_kind != "id" && faults.crossed_kind != "index")
    {
        throw error(error_code::out_of_range, crossed.where("kind"),
                    "expected id or index");
    }
    faults.crossed_count = crossed.get_int("count", 0, max_count);
    crossed.finish();
}

void read_break(json_reader& reader, fault_state& faults)
{
    const boost::json::value* value = reader.find("break_stream");
    if (value == nullptr)
        return;
    json_reader broken(*value, reader.document(), reader.pointer_of("break_stream"));
    faults.break_after = broken.get_int("after", 0, max_count);
    faults.break_count = broken.get_int("count", 0, max_count);
    broken.finish();
}

} // namespace

bool fault_state::consume_lost_response(std::string_view path)
{
    if (this->lost_response_count == 0 || !path.starts_with(this->lost_response_path))
        return false;
    --this->lost_response_count;
    return true;
}

std::string fault_state::consume_crossed()
{
    if (this->crossed_count == 0)
        return {};
    --this->crossed_count;
    return this->crossed_kind;
}

std::int64_t fault_state::consume_break()
{
    if (this->break_count == 0)
        return -1;
    --this->break_count;
    return this->break_after;
}

void apply_faults(fault_state& faults, std::string_view body,
                  std::uint64_t newest_connection)
{
    const auto value = state::parse_json(body, "body");
    json_reader reader(value, "body");
    fault_state next = faults;
    read_enum(reader, "down", outage_names, next.current_outage,
              "expected no, unavailable or refused");
    next.outage_duration = read_ms(reader, "for_ms", state::milliseconds(0));
    if (next.current_outage == outage::refused && next.outage_duration.count() == 0)
    {
        throw error(
            error_code::missing_key, reader.where("for_ms"),
            "an outage of kind refused needs a duration after which the port reopens");
    }
    read_slow(reader, next);
    next.response_delay = read_ms(reader, "late_ms", next.response_delay);
    next.frozen = reader.get_bool("freeze", next.frozen);
    if (reader.get_bool("silence", false))
        next.last_silent_connection = newest_connection;
    read_lost_responses(reader, next);
    read_crossed(reader, next);
    read_break(reader, next);
    read_enum(reader, "leaving", leaving_names, next.leaving,
              "expected no, noted or refuse");
    if (faults.leaving == leaving_mode::no)
        next.leaving_since = std::chrono::steady_clock::now();
    next.refuse = reader.get_bool("refuse", next.refuse);
    reader.finish();
    faults = next;
}

} // namespace pomelorouter::tools
