#include "stand_in_fixture.hpp"

#include "coordination/replicated_settings.hpp"
#include "state/error.hpp"
#include "tools/platform_stand_in/platform_handler.hpp"

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>

#include <optional>

using namespace contracts; // NOLINT(google-build-using-namespace): test file

namespace
{

using state::error_code;

struct log_test
{
    explicit log_test(const tools::platform_limits& limits = {})
        : platform(test, {}, limits, tools::weight_store_options{}),
          log(test.client, platform.address)
    {
    }

    std::uint64_t append(const std::string& data)
    {
        return this->test.wait(this->log.append("settings", data));
    }

    transport::log_page read(std::uint64_t from, int wait_ms = 0)
    {
        return this->test.wait(
            this->log.read("settings", from, state::milliseconds(wait_ms)));
    }

    std::optional<error_code> append_error(const std::string& data)
    {
        try
        {
            this->append(data);
        }
        catch (const state::error& failure)
        {
            return failure.code();
        }
        return std::nullopt;
    }

    test_loop test;
    stand_in_server<tools::platform_handler> platform;
    transport::http_log_service log;
};

} // namespace

// Guards against records that are read twice, skipped or out of order.
TEST_CASE("records are read back in the order of their offsets")
{
    log_test t;
    for (std::uint64_t n = 0; n < 5; ++n)
        CHECK(t.append("record " + std::to_string(n)) == n);
    const transport::log_page page = t.read(2);
    CHECK(page.first == 0);
    CHECK(page.next == 5);
    REQUIRE(page.records.size() == 3);
    CHECK(page.records[0].offset == 2);
    CHECK(page.records[0].data == "record 2");
    CHECK(t.read(5).records.empty());
    CHECK(t.read(9).next == 9);
}

// Guards against a long poll that misses the append it waits for.
TEST_CASE("a waiting read returns with the next record")
{
    log_test t;
    auto reading = t.test.spawn(t.log.read("settings", 0, state::milliseconds(15000)));
    CHECK(t.append("first") == 0);
    CHECK(t.test.wait(std::move(reading)).records.size() == 1);
}

// Guards against a reader that skips expired records without noticing the loss.
TEST_CASE("a read of expired records reports the first offset that is left")
{
    tools::platform_limits limits;
    limits.retention_records = 3;
    log_test t(limits);
    for (int n = 0; n < 8; ++n)
        t.append("x");
    std::optional<std::uint64_t> first;
    try
    {
        t.read(1);
    }
    catch (const transport::log_truncated& truncated)
    {
        first = truncated.first();
    }
    CHECK(first == 5);
    CHECK(t.read(5).records.size() == 3);
}

// Guards against treating an append of unknown outcome as failed, and a failed one as of
// unknown outcome.
TEST_CASE(
    "an append under a fault returns the expected error and stores what is expected")
{
    struct row
    {
        const char* name;
        const char* faults;
        std::string data;
        std::optional<error_code> expected;
        std::uint64_t appended;
    };
    const row rows[] = {
        {"none", "{}", "x", std::nullopt, 1},
        {"down", R"({"down":"unavailable"})", "x", error_code::log_unavailable, 0},
        {"answer lost", R"({"lose_answers":{"path":"/streams/settings","count":1}})", "x",
         error_code::log_unavailable, 1},
        {"answer of another stream lost",
         R"({"lose_answers":{"path":"/streams/fleet","count":1}})", "x", std::nullopt, 1},
        {"late", R"({"late_ms":20})", "x", std::nullopt, 1},
        {"slow", R"({"slow":{"delay_ms":20}})", "x", std::nullopt, 1},
        {"too large", "{}", std::string(2 * 1024 * 1024, 'x'),
         error_code::log_unavailable, 0},
        {"not UTF-8", "{}", "a\xc3", std::nullopt, 1},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        log_test t;
        t.platform.set_faults(item.faults);
        CHECK(t.append_error(item.data) == item.expected);
        t.platform.set_faults(R"({"down":"no","late_ms":0,"slow":{}})");
        CHECK(t.read(0).next == item.appended);
    }
}

// Guards against writers that continue at full rate beyond the append limit.
TEST_CASE("appends beyond the limit are refused and not stored")
{
    tools::platform_limits limits;
    limits.appends_per_s = 3;
    log_test t(limits);
    for (int n = 0; n < 3; ++n)
        t.append("x");
    CHECK(t.append_error("x") == error_code::rate_limited);
    CHECK(t.read(0).next == 3);
}

// Guards against a malformed record that stops a node from reading the records after it.
TEST_CASE("a malformed record is skipped and the next record is applied")
{
    struct row
    {
        const char* name;
        std::string data;
    };
    const std::string whole =
        R"({"type":"settings_proposal","schema":1,"writer":"n","incarnation":1,)"
        R"("sequence":0,"id":"a","base_version":0,"author":"","tree":{}})";
    const row rows[] = {
        {"empty", ""},
        {"truncated", whole.substr(0, whole.size() / 2)},
        {"cut in a character", "{\"type\":\"\xc3"},
        {"unknown type", R"({"type":"new","schema":1,"writer":"n","incarnation":1,)"
                         R"("sequence":0})"},
        {"newer schema", R"({"type":"settings_proposal","schema":9,"writer":"n",)"
                         R"("incarnation":1,"sequence":0})"},
        {"not an object", "[1,2]"},
        {"deeply nested", std::string(2000, '[')},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        log_test t;
        t.append(item.data);
        t.append(whole);
        coordination::replicated_settings fold;
        fold.begin_at(0);
        for (const auto& record : t.read(0).records)
        {
            try
            {
                fold.apply(record.offset, record.data);
            }
            catch (const state::error&)
            {
                CHECK(record.offset == 0);
            }
        }
        CHECK(fold.version() == 1);
        CHECK(fold.next_offset() == 2);
    }
}
