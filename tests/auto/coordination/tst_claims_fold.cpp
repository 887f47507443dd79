#include "coordination/claims_fold.hpp"

#include "state/error.hpp"

#include <doctest/doctest.h>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::claims_fold;

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

claims_fold fresh_fold()
{
    claims_fold fold;
    fold.begin_at(0);
    return fold;
}

} // namespace

// Guards against two nodes both running the request of one key.
TEST_CASE("the first claim of a key in log order wins")
{
    claims_fold fold = fresh_fold();
    CHECK(fold.apply(0, text(batch("n1", 1, "k")))->won.size() == 1);
    CHECK(fold.apply(1, text(batch("n2", 1, "k")))->lost.size() == 1);
    CHECK(fold.find("k", 1000)->writer == "n1");
}

// Guards against the second copy of a batch, sent because the answer to its append was
// lost, claiming a key anew that was released in between.
TEST_CASE("a batch that was appended twice is folded once")
{
    claims_fold fold = fresh_fold();
    const std::string first = text(batch("n1", 1, "k"));
    fold.apply(0, first);
    fold.apply(1,
               with_outcome(batch("n1", 2, ""), "k", protocol::outcome_result::not_run));
    CHECK(fold.find("k", 1000) == nullptr);
    CHECK_FALSE(fold.apply(2, first).has_value());
    CHECK(fold.find("k", 1000) == nullptr);
    CHECK(fold.apply(3, text(batch("n2", 1, "k")))->won.size() == 1);
}

// Guards against a node that does not hold a claim ending it.
TEST_CASE("only the holder of a claim records its outcome, and only once")
{
    claims_fold fold = fresh_fold();
    fold.apply(0, text(batch("n1", 1, "k")));
    fold.apply(1,
               with_outcome(batch("n2", 1, ""), "k", protocol::outcome_result::not_run));
    REQUIRE(fold.find("k", 1000) != nullptr);
    CHECK_FALSE(fold.find("k", 1000)->outcome.has_value());
    fold.apply(2, with_outcome(batch("n1", 2, ""), "k", protocol::outcome_result::done));
    fold.apply(3,
               with_outcome(batch("n1", 3, ""), "k", protocol::outcome_result::not_run));
    REQUIRE(fold.find("k", 1000) != nullptr);
    CHECK(fold.find("k", 1000)->outcome->result == protocol::outcome_result::done);
}

// Guards against a key being refused for ever, and against one being free too early.
TEST_CASE("a claim lives for its lifetime")
{
    struct row
    {
        std::int64_t time_s;
        bool won;
    };
    for (const row& item : {row{1000, false}, row{1099, false}, row{1100, true}})
    {
        CAPTURE(item.time_s);
        claims_fold fold = fresh_fold();
        fold.apply(0, text(batch("n1", 1, "k", 1000)));
        CHECK((fold.find("k", item.time_s) == nullptr) == item.won);
        const auto result = fold.apply(1, text(batch("n2", 1, "k", item.time_s)));
        CHECK(result->won.empty() != item.won);
    }
}

// Guards against claims using memory for ever.
TEST_CASE("expired claims are forgotten")
{
    claims_fold fold = fresh_fold();
    for (std::uint64_t i = 0; i < 100; ++i)
        fold.apply(i, text(batch("n1", i + 1, "k" + std::to_string(i))));
    fold.apply(100, text(batch("n1", 101, "late", 1000 + lifetime_s + 3600)));
    CHECK(fold.size() == 1);
}

// Guards against a claim being lost when its record has expired in the log: a reader that
// begins late must not run a key that another node has claimed.
TEST_CASE("a truncated stream is unknown until a snapshot reaches back far enough")
{
    claims_fold writer = fresh_fold();
    writer.apply(0, text(batch("n1", 1, "a")));
    const std::string stale = protocol::format_claim_record(writer.snapshot());
    writer.apply(1, text(batch("n1", 2, "b")));
    const std::string recent = protocol::format_claim_record(writer.snapshot());

    claims_fold reader;
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
    // The numbers of writers come with the snapshot.
    CHECK_FALSE(reader.apply(5, text(batch("n1", 2, "d"))).has_value());

    claims_fold gap = fresh_fold();
    gap.begin_at(7);
    CHECK_FALSE(gap.is_known());
}

// Guards against one bad record making nodes disagree on all later ones.
TEST_CASE("a claims record that cannot be read is skipped")
{
    claims_fold fold = fresh_fold();
    CHECK_THROWS_AS(fold.apply(0, R"({"type":"claim_batch")"), state::error);
    CHECK(fold.next_offset() == 1);
    CHECK(fold.apply(1, text(batch("n1", 1, "k")))->won.size() == 1);
}

// Guards against a node that finds no usable snapshot never running a key again, and
// against it running one whose claim is alive but was not read.
TEST_CASE("a truncated stream is known once all unread claims have expired")
{
    const auto reader_at = [](std::int64_t now_s)
    {
        claims_fold reader;
        reader.begin_at(5);
        // The claim waited long for its append, which says nothing of the ones before it.
        protocol::claim_batch late = batch("n1", 4, "k", 100);
        late.time_s = 1000;
        reader.apply(5, text(late));
        reader.apply(6, text(batch("n1", 5, "l", 1390)));
        reader.settle(now_s);
        return reader;
    };
    CHECK_FALSE(reader_at(1000 + lifetime_s + 299).is_known());
    const claims_fold reader = reader_at(1000 + lifetime_s + 300);
    REQUIRE(reader.is_known());
    CHECK(reader.find("l", 1400) != nullptr);
    CHECK(reader.last_sequence("n1", 1) == 5);
}
