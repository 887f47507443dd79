#include "coordination/replicated_settings.hpp"

#include "state/error.hpp"

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>

namespace
{

using pomelorouter::coordination::replicated_settings;
using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file

std::string proposal(const std::string& id, std::uint64_t base, const std::string& tree)
{
    protocol::settings_proposal record;
    record.header.writer = "n1";
    record.id = id;
    record.base_version = base;
    record.tree = boost::json::parse(tree);
    return protocol::format_settings_record(record);
}

replicated_settings empty_settings()
{
    replicated_settings settings;
    settings.begin_at(0);
    return settings;
}

} // namespace

// Guards against two operators who overwrite each other's changes unnoticed.
TEST_CASE("of two proposals with the same base only the first is accepted")
{
    replicated_settings settings = empty_settings();
    const auto first = settings.apply(0, proposal("a", 0, R"({"services":{"s":{}}})"));
    const auto second = settings.apply(1, proposal("b", 0, R"({"services":{"t":{}}})"));
    REQUIRE(first.has_value());
    REQUIRE(second.has_value());
    CHECK(first->verdict == protocol::proposal_verdict::accepted);
    CHECK(second->verdict == protocol::proposal_verdict::conflict);
    CHECK(settings.version() == 1);
    CHECK(settings.resolved()->services.contains("s"));
}

// Guards against an outdated snapshot, from a node that was disconnected, reverting an
// accepted change.
TEST_CASE("a snapshot that lacks a change is ignored")
{
    replicated_settings writer = empty_settings();
    writer.apply(0, proposal("a", 0, R"({"services":{"s":{}}})"));
    const protocol::settings_snapshot stale = writer.snapshot();
    writer.apply(1, proposal("b", 1, R"({"services":{"s":{},"t":{}}})"));
    const protocol::settings_snapshot recent = writer.snapshot();

    replicated_settings reader;
    reader.begin_at(2);
    reader.apply(2, protocol::format_settings_record(stale));
    CHECK_FALSE(reader.is_known());
    reader.apply(3, protocol::format_settings_record(recent));
    CHECK(reader.is_known());
    CHECK(reader.version() == 2);
    CHECK_FALSE(reader.adopt(stale));
    CHECK(reader.version() == 2);
}

// Guards against a change being applied twice when the response to its append was lost.
TEST_CASE("a duplicate proposal has no effect")
{
    replicated_settings settings = empty_settings();
    settings.apply(0, proposal("a", 0, "{}"));
    CHECK_FALSE(settings.apply(1, proposal("a", 0, "{}")).has_value());
    CHECK(settings.version() == 1);
}

// Guards against one malformed record that blocks all later changes.
TEST_CASE("malformed settings records are skipped")
{
    replicated_settings settings = empty_settings();
    const char* const future =
        R"({"type":"settings_proposal","schema":99,"writer":"n","incarnation":1,"sequence":0})";
    for (const char* data : {"", "{", "[]", R"({"type":"x"})", future})
    {
        CAPTURE(data);
        CHECK_THROWS_AS(settings.apply(settings.next_offset(), data), state::error);
    }
    CHECK(settings.next_offset() == 5);
    CHECK(settings.apply(5, proposal("a", 0, "{}"))->verdict ==
          protocol::proposal_verdict::accepted);
}
