#include "coordination/claim_batcher.hpp"
#include "coordination/idempotency.hpp"
#include "coordination/key_table.hpp"

#include <doctest/doctest.h>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using namespace coordination; // NOLINT(google-build-using-namespace): test file
using action = idempotency_action;
using protocol::run_state;
using state::error_code;

const state::time_point start{state::seconds(1000)};

idempotency_input chosen(claim_answer answer, const char* held_request = nullptr,
                         std::optional<protocol::outcome_result> result = {},
                         process_state holder = process_state::alive)
{
    idempotency_input input;
    input.request = "r";
    input.answer = answer;
    input.holder = holder;
    if (held_request != nullptr)
    {
        input.held.emplace();
        input.held->claim.request = held_request;
    }
    if (result)
        input.held->outcome = {"k", *result, 200, "", "", false};
    return input;
}

idempotency_input issued(process_state holder, bool expired = false,
                         bool forwarded = false)
{
    idempotency_input input;
    input.kind = key_kind::issued;
    input.request = "r";
    input.holder = holder;
    input.expired = expired;
    input.forwarded = forwarded;
    return input;
}

idempotency_input local(key_kind kind, local_key_state state, const char* request,
                        bool kept = false)
{
    idempotency_input input = issued(process_state::self);
    input.kind = kind;
    input.local = state;
    input.local_request = request;
    input.local_body_kept = kept;
    return input;
}

protocol::key_claim claim(const std::string& key)
{
    return {key, "r", 1, 60};
}

} // namespace

// Guards against a decision that runs a request twice or refuses it with a wrong reason.
TEST_CASE("a request with an idempotency key is run, replayed, forwarded or refused")
{
    using outcome = protocol::outcome_result;
    struct row
    {
        idempotency_input input;
        action expected;
        error_code code = error_code::internal;
        run_state run = run_state::not_run;
    };
    idempotency_input kept = chosen(claim_answer::held, "r", outcome::done);
    kept.held->outcome->body_kept = true;
    idempotency_input refused = chosen(claim_answer::refused);
    refused.failure = state::error(error_code::rate_limited, "log", "x");
    idempotency_input forwarded = chosen(claim_answer::held, "r");
    forwarded.forwarded = true;
    const auto no = action::refuse;
    const row rows[] = {
        {chosen(claim_answer::not_asked), action::claim_first},
        {chosen(claim_answer::granted), action::run},
        {chosen(claim_answer::log_unknown), no, error_code::log_unavailable},
        {refused, no, error_code::rate_limited},
        {chosen(claim_answer::held, "other"), no, error_code::key_reused},
        {kept, action::replay_recorded},
        {chosen(claim_answer::held, "r", outcome::done), no, error_code::answer_not_kept,
         run_state::run},
        {chosen(claim_answer::held, "r", outcome::unknown), no,
         error_code::outcome_unknown, run_state::unknown},
        {chosen(claim_answer::held, "r"), action::forward},
        {forwarded, no, error_code::key_in_use, run_state::unknown},
        {chosen(claim_answer::held, "r", {}, process_state::self), no,
         error_code::key_in_use, run_state::unknown},
        {chosen(claim_answer::held, "r", {}, process_state::dead), no,
         error_code::outcome_unknown, run_state::unknown},
        {chosen(claim_answer::held, "r", {}, process_state::unknown), no,
         error_code::outcome_unknown, run_state::unknown},
        {issued(process_state::self), action::run},
        {issued(process_state::alive), action::forward},
        {issued(process_state::alive, false, true), no, error_code::key_in_use,
         run_state::unknown},
        {issued(process_state::dead), no, error_code::outcome_unknown,
         run_state::unknown},
        {issued(process_state::unknown), no, error_code::outcome_unknown,
         run_state::unknown},
        {issued(process_state::self, true), no, error_code::key_expired,
         run_state::unknown},
        {local(key_kind::issued, local_key_state::running, "r"), action::wait_local},
        {local(key_kind::chosen, local_key_state::claiming, "r"), action::wait_local},
        {local(key_kind::issued, local_key_state::running, "x"), no,
         error_code::key_reused},
        {local(key_kind::issued, local_key_state::finished, "r", true),
         action::replay_local},
        {local(key_kind::chosen, local_key_state::finished, "r"), no,
         error_code::answer_not_kept, run_state::run},
        {local(key_kind::chosen, local_key_state::lost, "r"), no,
         error_code::outcome_unknown, run_state::unknown},
    };
    int number = 0;
    for (const row& item : rows)
    {
        ++number;
        CAPTURE(number);
        const idempotency_decision decision = decide_idempotency(item.input);
        CHECK(to_string(decision.action) == to_string(item.expected));
        if (decision.action != no)
            continue;
        CHECK(to_string(decision.refusal.code) == to_string(item.code));
        CHECK(decision.refusal.run == item.run);
        CHECK_FALSE(decision.refusal.expected.empty());
    }
}

// Guards against treating a batch as rejected although its append may have succeeded, and
// against two batches in flight at the same time.
TEST_CASE("a batch with an unknown result stays in flight until the log decides it")
{
    claim_batcher batcher;
    batcher.set_rate(100);
    batcher.add_claim(claim("a"));
    const outgoing_batch* first = batcher.next(start);
    REQUIRE(first != nullptr);
    CHECK(first->sequence == 1);
    batcher.add_claim(claim("b"));
    CHECK(batcher.next(start + state::seconds(1)) == nullptr);
    batcher.on_append_unknown(1, start + state::seconds(1));
    const outgoing_batch* again = batcher.next(start + state::seconds(2));
    REQUIRE(again != nullptr);
    CHECK(again->sequence == 1);
    CHECK(again->claims[0].key == "a");
    CHECK(batcher.on_append_rejected(1, start + state::seconds(2)).empty());
    CHECK(batcher.in_flight() != nullptr);
    CHECK(batcher.on_read_back().claims.size() == 1);
    CHECK(batcher.next(start + state::seconds(3))->sequence == 2);
    CHECK(batcher.on_append_rejected(2, start + state::seconds(3)).size() == 1);
    batcher.add_claim(claim("c"));
    CHECK(batcher.next(start + state::seconds(4))->sequence == 2);
}

// Guards against a node that exceeds its share of the appends, and against batches that
// the log rejects as too large.
TEST_CASE("batches are limited in rate, items and bytes")
{
    claim_batch_limits limits;
    limits.max_items = 8;
    limits.max_bytes = 4000;
    limits.max_waiting = 20;
    claim_batcher batcher(limits);
    batcher.set_rate(10);
    for (int i = 0; i < 20; ++i)
        CHECK(batcher.add_claim(claim("k" + std::to_string(i))));
    CHECK_FALSE(batcher.add_claim(claim("more")));
    for (int i = 0; i < 20; ++i)
        batcher.add_outcome({"o", protocol::outcome_result::done, 200, "", "x", true},
                            start);
    std::size_t claims = 0;
    std::size_t outcomes = 0;
    int batches = 0;
    for (int ms = 0; ms < 1000; ms += 10)
    {
        const outgoing_batch* batch = batcher.next(start + state::milliseconds(ms));
        if (batch == nullptr)
            continue;
        ++batches;
        CHECK(batch->claims.size() + batch->outcomes.size() <= 8);
        claims += batch->claims.size();
        outcomes += batch->outcomes.size();
        batcher.on_read_back();
    }
    CHECK(batches <= 10);
    CHECK(claims == 20);
    CHECK(outcomes == 20);
}

// Guards against an outcome that never reaches the log because no claim follows it.
TEST_CASE("an outcome is sent without a claim after a delay")
{
    claim_batcher batcher;
    batcher.add_outcome({"o", protocol::outcome_result::unknown, 0, "", "", false},
                        start);
    CHECK(batcher.next(start) == nullptr);
    CHECK(batcher.next(start + state::milliseconds(100)) != nullptr);
}

// Guards against dropping a key when the table is full, after which its request could run
// again.
TEST_CASE("a full key table drops stored bodies but no keys")
{
    key_table_limits limits;
    limits.max_keys = 3;
    limits.max_answer_bytes = 10;
    key_table keys(limits);
    for (const char* key : {"a", "b", "c"})
    {
        CHECK(keys.add(key, "r", local_key_state::running, start + state::seconds(10)));
        keys.finish(key, {200, "t", "12345"});
    }
    CHECK_FALSE(keys.add("d", "r", local_key_state::running, start));
    CHECK(keys.answer_bytes() == 10);
    CHECK(keys.find("a")->state == local_key_state::finished);
    CHECK_FALSE(keys.find("a")->body_kept);
    CHECK(keys.find("c")->body_kept);
    keys.prune(start + state::seconds(9));
    CHECK(keys.size() == 3);
    keys.prune(start + state::seconds(10));
    CHECK(keys.size() == 0);
    CHECK(keys.answer_bytes() == 0);
}
