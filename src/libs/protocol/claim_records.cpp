#include "protocol/claim_records.hpp"

#include "state/enum_table.hpp"
#include "state/error.hpp"
#include "state/json_reader.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <limits>
#include <utility>

namespace pomelorouter::protocol
{

using state::json_reader;

namespace
{

constexpr const char* document = "claims record";
constexpr const char* batch_type = "claim_batch";
constexpr const char* snapshot_type = "claims_snapshot";
constexpr std::int64_t max_time_s = std::numeric_limits<std::int64_t>::max() / 4;
constexpr std::int64_t max_status = 999;

constexpr std::array<state::enum_name<outcome_result>, 3> result_names{{
    {outcome_result::done, "done"},
    {outcome_result::not_run, "not_run"},
    {outcome_result::unknown, "unknown"},
}};

boost::json::object format_claim(const key_claim& claim)
{
    return {{"key", claim.key},
            {"request", claim.request},
            {"time_s", claim.time_s},
            {"lifetime_s", claim.lifetime_s}};
}

key_claim parse_claim(json_reader& reader)
{
    key_claim claim;
    claim.key = reader.get_string("key");
    claim.request = reader.get_string("request");
    claim.time_s = reader.get_int("time_s", 0, max_time_s);
    claim.lifetime_s = reader.get_int("lifetime_s", 1, max_time_s);
    return claim;
}

boost::json::array format_outcomes(const std::vector<key_outcome>& outcomes)
{
    boost::json::array list;
    for (const key_outcome& outcome : outcomes)
    {
        boost::json::object item{{"key", outcome.key},
                                 {"result", to_string(outcome.result)}};
        if (outcome.result == outcome_result::done)
            item["status"] = outcome.status;
        if (outcome.body_kept)
        {
            item["content_type"] = outcome.content_type;
            item["body"] = outcome.body;
        }
        list.push_back(std::move(item));
    }
    return list;
}

key_outcome parse_outcome(const boost::json::value& value, const std::string& pointer)
{
    json_reader reader(value, document, pointer);
    key_outcome outcome;
    outcome.key = reader.get_string("key");
    const auto result = state::value_of(result_names, reader.get_string("result"));
    if (!result)
    {
        throw state::error(state::error_code::out_of_range, reader.where("result"),
                           "unknown result; expected done, not_run or unknown");
    }
    outcome.result = *result;
    if (outcome.result == outcome_result::done)
        outcome.status = reader.get_int("status", 100, max_status);
    outcome.body_kept = reader.find("body") != nullptr;
    if (outcome.body_kept)
    {
        outcome.content_type = reader.get_string("content_type", "");
        outcome.body = reader.get_string("body");
    }
    if (outcome.body.size() > max_outcome_body_bytes)
    {
        throw state::error(state::error_code::too_large, reader.where("body"),
                           "the body exceeds " + std::to_string(max_outcome_body_bytes) +
                               " bytes");
    }
    return outcome;
}

std::vector<key_outcome> parse_outcomes(json_reader& reader)
{
    std::vector<key_outcome> outcomes;
    for (const boost::json::value& item : reader.get_array("outcomes"))
    {
        outcomes.push_back(
            parse_outcome(item, "/outcomes/" + std::to_string(outcomes.size())));
    }
    return outcomes;
}

claim_batch parse_batch(json_reader& reader, record_header header)
{
    claim_batch record;
    record.header = std::move(header);
    for (const boost::json::value& value : reader.get_array("claims"))
    {
        json_reader item(value, document,
                         "/claims/" + std::to_string(record.claims.size()));
        record.claims.push_back(parse_claim(item));
    }
    record.outcomes = parse_outcomes(reader);
    record.time_s = reader.get_int("time_s", 0, max_time_s);
    return record;
}

claims_snapshot parse_snapshot(json_reader& reader, record_header header)
{
    claims_snapshot record;
    record.header = std::move(header);
    record.upto = reader.get_uint64("upto");
    record.time_s = reader.get_int("time_s", 0, max_time_s);
    for (const boost::json::value& value : reader.get_array("claims"))
    {
        json_reader item(value, document,
                         "/claims/" + std::to_string(record.claims.size()));
        held_claim held;
        held.claim = parse_claim(item);
        held.writer = item.get_string("writer");
        held.incarnation = item.get_uint64("incarnation");
        record.claims.push_back(std::move(held));
    }
    record.outcomes = parse_outcomes(reader);
    for (const boost::json::value& value : reader.get_array("writers"))
    {
        json_reader item(value, document,
                         "/writers/" + std::to_string(record.writers.size()));
        claim_writer writer;
        writer.writer = item.get_string("writer");
        writer.incarnation = item.get_uint64("incarnation");
        writer.sequence = item.get_uint64("sequence");
        writer.time_s = item.get_int("time_s", 0, max_time_s);
        record.writers.push_back(std::move(writer));
    }
    return record;
}

} // namespace

std::string_view to_string(outcome_result result)
{
    return name_of(result_names, result);
}

std::string format_claim_record(const claim_batch& record)
{
    boost::json::object object = format_header(record.header);
    object["type"] = batch_type;
    object["time_s"] = record.time_s;
    boost::json::array claims;
    for (const key_claim& claim : record.claims)
        claims.push_back(format_claim(claim));
    object["claims"] = std::move(claims);
    object["outcomes"] = format_outcomes(record.outcomes);
    return boost::json::serialize(object);
}

std::string format_claim_record(const claims_snapshot& record)
{
    boost::json::object object = format_header(record.header);
    object["type"] = snapshot_type;
    object["upto"] = record.upto;
    object["time_s"] = record.time_s;
    boost::json::array claims;
    for (const held_claim& held : record.claims)
    {
        boost::json::object item = format_claim(held.claim);
        item["writer"] = held.writer;
        item["incarnation"] = held.incarnation;
        claims.push_back(std::move(item));
    }
    object["claims"] = std::move(claims);
    object["outcomes"] = format_outcomes(record.outcomes);
    boost::json::array writers;
    for (const claim_writer& writer : record.writers)
    {
        writers.push_back(boost::json::object{{"writer", writer.writer},
                                              {"incarnation", writer.incarnation},
                                              {"sequence", writer.sequence},
                                              {"time_s", writer.time_s}});
    }
    object["writers"] = std::move(writers);
    return boost::json::serialize(object);
}

claim_record parse_claim_record(std::string_view data)
{
    const auto value = state::parse_json(data, document);
    json_reader reader(value, document);
    record_header header = parse_header(reader);
    if (header.type == batch_type)
        return parse_batch(reader, std::move(header));
    if (header.type == snapshot_type)
        return parse_snapshot(reader, std::move(header));
    throw state::error(state::error_code::malformed_record, reader.where("type"),
                       "unknown record type; expected claim_batch or claims_snapshot");
}

key_outcome make_done_outcome(std::string key, unsigned status, std::string_view type,
                              std::string_view body)
{
    key_outcome outcome;
    outcome.key = std::move(key);
    outcome.status = status;
    if (body.size() > max_outcome_body_bytes)
        return outcome;
    // Every reader skips a record with invalid UTF-8, which would also lose the claims in
    // that record.
    try
    {
        state::parse_json(boost::json::serialize(boost::json::array{type, body}),
                          "response");
    }
    catch (const state::error&)
    {
        return outcome;
    }
    outcome.content_type = type;
    outcome.body = body;
    outcome.body_kept = true;
    return outcome;
}

} // namespace pomelorouter::protocol
