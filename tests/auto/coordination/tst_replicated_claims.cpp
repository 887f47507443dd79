#include "coordination/replicated_claims.hpp"

#include "state/error.hpp"

#include <doctest/doctest.h>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::replicated_claims;

constexpr std::int64_t lifetime_s = 100;

protocol::claim_batch batch(const std::string& writer, std::uint64_t sequence,
                            const std::string& key, std::int64_t time_s = 1000)
{
    protocol::claim_batch record;
    record.header.writer = writer;
    record.header.incarnation = 1;
    record.header.sequence = sequence;
    record.time_s = time_s;
    if (!key.empty())
        record.claims.push_back({key, "request", time_s, lifetime_s});
    return record;
}

std::string with_outcome(protocol::claim_batch record, const std::string& key,
                         protocol::outcome_result result)
{
    protocol::key_outcome outcome;
    outcome.key = key;
    outcome.result = result;
    outcome.status = 200;
    record.outcomes.push_back(outcome);
    return protocol::format_claim_record(record);
}

std::string text(const protocol::claim_batch& record)
{
    return protocol::format_claim_record(record);
}

replicated_claims empty_claims()
{
    replicated_claims claims;
    claims.begin_at(0);
    return claims;
}

} // namespace

// Guards against two nodes executing the request of the same key.
TEST_CASE("the first claim of a key in log order wins")
{
    replicated_claims claims = empty_claims();
    CHECK(claims.apply(0, text(batch("n1", 1, "k")))->won.size() == 1);
    CHECK(claims.apply(1, text(batch("n2", 1, "k")))->lost.size() == 1);
    CHECK(claims.find("k", 1000)->writer == "n1");
}

// Guards against a duplicate batch, appended because the response to the first append was
// lost, claiming a key again that was released in between.
TEST_CASE("a batch that was appended twice is applied once")
{
    replicated_claims claims = empty_claims();
    const std::string first = text(batch("n1", 1, "k"));
    claims.apply(0, first);
    claims.apply(
        1, with_outcome(batch("n1", 2, ""), "k", protocol::outcome_result::not_run));
    CHECK(claims.find("k", 1000) == nullptr);
    CHECK_FALSE(claims.apply(2, first).has_value());
    CHECK(claims.find("k", 1000) == nullptr);
    CHECK(claims.apply(3, text(batch("n2", 1, "k")))->won.size() == 1);
}

// Guards against a node ending a claim that it does not hold.
TEST_CASE("only the holder of a claim records its outcome, and only once")
{
    replicated_claims claims = empty_claims();
    claims.apply(0, text(batch("n1", 1, "k")));
    claims.apply(
        1, with_outcome(batch("n2", 1, ""), "k", protocol::outcome_result::not_run));
    REQUIRE(claims.find("k", 1000) != nullptr);
    CHECK_FALSE(claims.find("k", 1000)->outcome.has_value());
    claims.apply(2,
                 with_outcome(batch("n1", 2, ""), "k", protocol::outcome_result::done));
    claims.apply(
        3, with_outcome(batch("n1", 3, ""), "k", protocol::outcome_result::not_run));
    REQUIRE(claims.find("k", 1000) != nullptr);
    CHECK(claims.find("k", 1000)->outcome->result == protocol::outcome_result::done);
}

// Guards against a key that is rejected after its claim expired, and against one that can
// be claimed too early.
TEST_CASE("a claim blocks its key until its lifetime has passed")
{
    struct row
    {
        std::int64_t time_s;
        bool won;
    };
    for (const row& item : {row{1000, false}, row{1099, false}, row{1100, true}})
    {
        CAPTURE(item.time_s);
        replicated_claims claims = empty_claims();
        claims.apply(0, text(batch("n1", 1, "k", 1000)));
        CHECK((claims.find("k", item.time_s) == nullptr) == item.won);
        const auto result = claims.apply(1, text(batch("n2", 1, "k", item.time_s)));
        CHECK(result->won.empty() != item.won);
    }
}

// Guards against expired claims that are never removed from memory.
TEST_CASE("expired claims are removed")
{
    replicated_claims claims = empty_claims();
    for (std::uint64_t i = 0; i < 100; ++i)
        claims.apply(i, text(batch("n1", i + 1, "k" + std::to_string(i))));
    claims.apply(100, text(batch("n1", 101, "late", 1000 + lifetime_s + 3600)));
    CHECK(claims.size() == 1);
}

// Guards against a claim being lost when the log has deleted its record: a reader that
// starts late must not execute a key that another node has claimed.
TEST_CASE("the state of a truncated stream is unknown until a snapshot covers the gap")
{
    replicated_claims writer = empty_claims();
    writer.apply(0, text(batch("n1", 1, "a")));
    const std::string stale = protocol::format_claim_record(writer.snapshot());
    writer.apply(1, text(batch("n1", 2, "b")));
    const std::string recent = protocol::format_claim_record(writer.snapshot());

    replicated_claims reader;
    reader.begin_at(2);
    reader.apply(2, stale);
    CHECK_FALSE(reader.is_known());
    CHECK(reader.find("b", 1000) == nullptr);
    reader.apply(3, text(batch("n2", 1, "c")));
    reader.apply(4, recent);
    REQUIRE(reader.is_known());
    for (const char* key : {"a", "b", "c"})
        CHECK(reader.find(key, 1000) != nullptr);
    CHECK(reader.last_sequence("n1", 1) == 2);
    // The snapshot contains the sequence numbers of the writers.
    CHECK_FALSE(reader.apply(5, text(batch("n1", 2, "d"))).has_value());

    replicated_claims gap = empty_claims();
    gap.begin_at(7);
    CHECK_FALSE(gap.is_known());
}

// Guards against one malformed record that makes nodes disagree on all later records.
TEST_CASE("a malformed claims record is skipped")
{
    replicated_claims claims = empty_claims();
    CHECK_THROWS_AS(claims.apply(0, R"({"type":"claim_batch")"), state::error);
    CHECK(claims.next_offset() == 1);
    CHECK(claims.apply(1, text(batch("n1", 1, "k")))->won.size() == 1);
}

// Without a usable snapshot, guards against a node that never executes a key again, and
// against one that executes a key whose valid claim it has not read.
TEST_CASE("the state of a truncated stream is known once all missed claims expired")
{
    const auto reader_at = [](std::int64_t now_s)
    {
        replicated_claims reader;
        reader.begin_at(5);
        // The claim was queued for long before its append, so its time is no bound for
        // the claims before it.
        protocol::claim_batch late = batch("n1", 4, "k", 100);
        late.time_s = 1000;
        reader.apply(5, text(late));
        reader.apply(6, text(batch("n1", 5, "l", 1390)));
        reader.expire_missed_claims(now_s);
        return reader;
    };
    CHECK_FALSE(reader_at(1000 + lifetime_s + 299).is_known());
    const replicated_claims reader = reader_at(1000 + lifetime_s + 300);
    REQUIRE(reader.is_known());
    CHECK(reader.find("l", 1400) != nullptr);
    CHECK(reader.last_sequence("n1", 1) == 5);
}
