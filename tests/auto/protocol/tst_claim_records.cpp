#include "protocol/claim_records.hpp"
#include "protocol/issued_key.hpp"

#include "state/error.hpp"

#include <doctest/doctest.h>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file

const protocol::issued_key sample{"node-1", 0x1234abcd, 1'790'000'000, 7};

template <typename Record>
Record read_back(const Record& record)
{
    return std::get<Record>(
        protocol::parse_claim_record(protocol::format_claim_record(record)));
}

} // namespace

// Guards against a member of a claim or outcome that is lost or altered between writer
// and reader.
TEST_CASE("a parsed claim record equals the formatted one")
{
    protocol::claim_batch batch;
    batch.header.writer = "n1";
    batch.header.sequence = 3;
    batch.claims.push_back({"k1", "r1", 100, 60});
    batch.outcomes.push_back(
        protocol::make_done_outcome("k2", 201, "application/json", R"({"id":"x"})"));
    batch.outcomes.push_back({"k3", protocol::outcome_result::not_run, 0, "", "", false});
    const protocol::claim_batch batch_copy = read_back(batch);
    CHECK(batch_copy.header.sequence == 3);
    CHECK(batch_copy.claims == batch.claims);
    CHECK(batch_copy.outcomes == batch.outcomes);

    protocol::claims_snapshot snapshot;
    snapshot.upto = 9;
    snapshot.time_s = 50;
    snapshot.claims.push_back({batch.claims[0], "n1", 5});
    snapshot.outcomes = batch.outcomes;
    snapshot.writers.push_back({"n1", 5, 3, 40});
    const protocol::claims_snapshot copy = read_back(snapshot);
    CHECK(copy.upto == 9);
    CHECK(copy.claims[0].claim == batch.claims[0]);
    CHECK(copy.claims[0].incarnation == 5);
    CHECK(copy.outcomes == snapshot.outcomes);
    CHECK(copy.writers[0].sequence == 3);
}

// Guards against a malformed record that stops the replay of the stream or is partially
// applied.
TEST_CASE("malformed claim records are rejected with the place of the error")
{
    const std::string head = R"("schema":1,"writer":"n","incarnation":1,"sequence":1)";
    struct row
    {
        std::string data;
        state::error_code code;
    };
    const std::string claim = R"({"key":"k","request":"r","time_s":1,"lifetime_s":)";
    const auto batch = [&](const std::string& claims, const std::string& outcomes)
    {
        return R"({"type":"claim_batch",)" + head + R"(,"claims":[)" + claims +
               R"(],"outcomes":[)" + outcomes + "]}";
    };
    const row rows[] = {
        {"", state::error_code::invalid_json},
        {R"({"type":"claim_batch",)", state::error_code::invalid_json},
        {"[]", state::error_code::wrong_type},
        {"{}", state::error_code::missing_key},
        {R"({"type":"other",)" + head + "}", state::error_code::malformed_record},
        {R"({"type":"claim_batch","schema":2,"writer":"n","incarnation":1,"sequence":1})",
         state::error_code::unsupported_version},
        {R"({"type":"claim_batch",)" + head + "}", state::error_code::missing_key},
        {batch(claim + "0}", ""), state::error_code::out_of_range},
        {batch(claim + "\"1\"}", ""), state::error_code::wrong_type},
        {batch("7", ""), state::error_code::wrong_type},
        {batch("", R"({"key":"k","result":"perhaps"})"), state::error_code::out_of_range},
        {batch("", R"({"key":"k","result":"done","status":7})"),
         state::error_code::out_of_range},
        {batch("", R"({"key":"k","result":"done","status":200,"body":")" +
                       std::string(1025, 'x') + "\"}"),
         state::error_code::too_large},
        {R"({"type":"claims_snapshot",)" + head + R"(,"upto":-1})",
         state::error_code::wrong_type},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.data);
        try
        {
            protocol::parse_claim_record(item.data);
            FAIL("the record was accepted");
        }
        catch (const state::error& failure)
        {
            CHECK(failure.code() == item.code);
            CHECK_FALSE(failure.place().empty());
        }
    }
}

// Guards against a response with invalid UTF-8 that makes its whole batch unreadable.
TEST_CASE("an outcome omits a body that is too large or not valid UTF-8")
{
    CHECK(protocol::make_done_outcome("k", 200, "t", std::string(1024, 'x')).body_kept);
    CHECK_FALSE(
        protocol::make_done_outcome("k", 200, "t", std::string(1025, 'x')).body_kept);
    protocol::claim_batch batch;
    batch.outcomes.push_back(protocol::make_done_outcome("k", 200, "t", "\xff\xfe"));
    CHECK_FALSE(batch.outcomes[0].body_kept);
    CHECK(read_back(batch).outcomes == batch.outcomes);
}

// Guards against a parsed key with another process or time than it was issued with.
TEST_CASE("a parsed issued key equals the formatted one")
{
    const std::string text = protocol::format_issued_key(sample);
    CHECK(protocol::parse_issued_key(text) == sample);
    CHECK(protocol::find_issued_key(text) == sample);
}

// Guards against running a request without a claim because its caller-chosen key
// resembles an issued one.
TEST_CASE("text that is not a valid issued key is treated as a caller's key")
{
    const std::string good = protocol::format_issued_key(sample);
    std::string other_node = good;
    other_node.replace(other_node.find("node-1"), 6, "node-2");
    std::string other_number = good;
    other_number.replace(other_number.find(".7."), 3, ".8.");
    std::string upper = good;
    upper[0] = 'P';
    for (const std::string& text :
         {std::string(), std::string("pk1"), std::string("payment-1"),
          std::string("pk1.n.1.1.1.0000000000000000"), other_node, other_number, upper,
          good + "0", good + ".", good.substr(0, good.size() - 1),
          "pk1." + std::string(300, 'a')})
    {
        CAPTURE(text);
        CHECK_FALSE(protocol::find_issued_key(text).has_value());
        CHECK_THROWS_AS(protocol::parse_issued_key(text), state::error);
    }
}

// Guards against two different requests with the same hash.
TEST_CASE("hashes differ when the boundary between two parts moves")
{
    CHECK(protocol::hash_key("a", "bc") != protocol::hash_key("ab", "c"));
    CHECK(protocol::hash_request("POST", "/a", "b") !=
          protocol::hash_request("POST", "/ab", ""));
    CHECK(protocol::hash_key("a", "b").size() == 32);
}
