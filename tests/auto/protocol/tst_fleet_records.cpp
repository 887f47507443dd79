#include "protocol/fleet_records.hpp"

#include "state/error.hpp"

#include <doctest/doctest.h>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file

protocol::record_header header()
{
    protocol::record_header result;
    result.writer = "n1";
    result.incarnation = 7;
    result.sequence = 3;
    return result;
}

protocol::fleet_snapshot full_snapshot()
{
    protocol::fleet_snapshot record{header(), 9, {{"hanoi", "n1", 7, 4, true}}, {}, {}};
    protocol::engine_entry entry{
        "e1", 2, "hanoi", 6, true, true, 100, {{"m", "1", "a", 5, true}}, {}};
    entry.open_orders.push_back(
        {header(), "o1", 4, "e1", 2, protocol::order_step::unload, "m", "1", "a", 5, ""});
    record.engines.push_back(entry);
    record.writers.push_back({"n1", 7, 3, 8});
    return record;
}

} // namespace

// Guards against a member that is formatted but not parsed, or parsed wrongly.
TEST_CASE("each parsed fleet record equals the formatted one")
{
    const protocol::order_intent intent{
        header(), "o1", 4,   "e1", 2,       protocol::order_step::set_role,
        "m",      "1",  "a", 5,    "decode"};
    const protocol::engine_seen seen{
        header(), 4, "e1", 2, 3, true, 4, 100, {{"m", "1", "", 5, true}}};
    const protocol::order_outcome outcome{header(), "o1",
                                          protocol::order_result::not_sent,
                                          protocol::outcome_basis::author_dead, 4};
    const std::vector<protocol::fleet_record> records{
        protocol::lease_claim{header(), "hanoi", 4},
        protocol::lease_renew{header(), "hanoi", 4},
        protocol::lease_release{header(), "hanoi", 4},
        intent,
        outcome,
        seen,
        protocol::engine_gone{header(), 4, "e1"},
        full_snapshot()};
    for (const protocol::fleet_record& record : records)
    {
        const std::string text = protocol::format_fleet_record(record);
        CAPTURE(text);
        const protocol::fleet_record parsed = protocol::parse_fleet_record(text);
        CHECK(parsed.index() == record.index());
        CHECK(protocol::format_fleet_record(parsed) == text);
    }
}

// Guards against accepting a corrupt record.
TEST_CASE("malformed fleet records are rejected")
{
    const std::string head = R"("schema":1,"writer":"n","incarnation":1,"sequence":0,)";
    for (const std::string& text :
         {std::string("{"), std::string("[]"), R"({"type":"other",)" + head + R"("x":1})",
          R"({"type":"lease_claim",)" + head + R"("scope":"s"})",
          R"({"type":"lease_claim",)" + head + R"("scope":"s","previous_epoch":-1})",
          R"({"type":"order_outcome",)" + head +
              R"("order_id":"o","result":"lost","basis":"author","epoch":0})",
          std::string(R"({"type":"lease_renew","schema":2,"writer":"n","incarnation":1,)"
                      R"("sequence":0,"scope":"s","epoch":1})")})
    {
        CAPTURE(text);
        CHECK_THROWS_AS(protocol::parse_fleet_record(text), state::error);
    }
}
