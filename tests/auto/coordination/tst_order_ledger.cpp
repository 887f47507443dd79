#include "coordination/order_ledger.hpp"

#include "state/error.hpp"

#include <doctest/doctest.h>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::fleet_verdict;
using coordination::order_ledger;
using protocol::order_result;
using protocol::order_step;
using protocol::outcome_basis;

/// Appends records of several writers to a ledger.
class writer
{
public:
    explicit writer(bool checks_fence)
    {
        this->ledger.begin_at(0);
        this->claim("a", 0);
        this->see(1, 0, checks_fence, 0);
        if (checks_fence)
            this->see(1, 2, true, 1);
    }

    fleet_verdict put(const std::string& node, protocol::fleet_record record)
    {
        protocol::record_header& header = protocol::header_of(record);
        header.writer = node;
        header.incarnation = 1;
        header.sequence = ++this->sequence;
        this->last = protocol::format_fleet_record(record);
        return this->ledger.apply(this->ledger.next_offset(), this->last)->verdict;
    }
    fleet_verdict claim(const std::string& node, std::uint64_t previous)
    {
        return this->put(node, protocol::lease_claim{{}, "r", previous});
    }
    fleet_verdict see(std::uint64_t epoch, std::uint64_t base, bool checks_fence,
                      std::uint64_t fence, std::uint64_t incarnation = 1)
    {
        return this->put(
            "a", protocol::engine_seen{
                     {}, epoch, "e", incarnation, base, checks_fence, fence, 100, {}});
    }
    fleet_verdict order(const std::string& node, std::uint64_t epoch,
                        const std::string& id, order_step step, const std::string& model,
                        std::int64_t bytes)
    {
        return this->put(node,
                         protocol::order_intent{
                             {}, id, epoch, "e", 1, step, model, "1", "", bytes, ""});
    }
    fleet_verdict close(const std::string& node, std::uint64_t epoch,
                        const std::string& id, order_result result, outcome_basis basis)
    {
        return this->put(node, protocol::order_outcome{{}, id, result, basis, epoch});
    }
    std::int64_t reserved() const
    {
        return order_ledger::reserved_bytes(*this->ledger.find_engine("e"));
    }

    order_ledger ledger;
    std::string last;
    std::uint64_t sequence = 0;
};

} // namespace

// Guards against two simultaneous holders of a lease.
TEST_CASE("of two claims with the same previous epoch only the first is valid")
{
    writer log(false);
    CHECK(log.claim("b", 0) == fleet_verdict::stale_epoch);
    CHECK(log.claim("b", 1) == fleet_verdict::applied);
    CHECK(log.claim("c", 1) == fleet_verdict::stale_epoch);
    CHECK(log.ledger.lease("r").holder == "b");
    CHECK(log.order("a", 1, "o", order_step::load, "m", 1) == fleet_verdict::stale_epoch);
}

// Guards against an open load or unload for which too little memory is reserved.
TEST_CASE("an open order reserves the larger memory use of before and after it")
{
    writer log(false);
    const auto load = order_step::load;
    CHECK(log.order("a", 1, "o1", load, "m", 60) == fleet_verdict::applied);
    CHECK(log.order("a", 1, "o2", load, "n", 41) == fleet_verdict::no_memory);
    CHECK(log.order("a", 1, "o3", load, "m", 60) == fleet_verdict::order_conflict);
    CHECK(log.close("a", 1, "o1", order_result::done, outcome_basis::author) ==
          fleet_verdict::applied);
    CHECK(log.reserved() == 60);
    CHECK(log.order("a", 1, "o4", order_step::unload, "m", 60) == fleet_verdict::applied);
    CHECK(log.order("a", 1, "o5", load, "n", 41) == fleet_verdict::no_memory);
    CHECK(log.close("a", 1, "o4", order_result::done, outcome_basis::author) ==
          fleet_verdict::applied);
    CHECK(log.order("a", 1, "o6", load, "n", 100) == fleet_verdict::applied);
}

// Guards against a successor closing an order that the engine may still execute.
TEST_CASE("only the author or a successor with proof may close an order")
{
    struct row
    {
        bool checks_fence;
        const char* writer;
        std::uint64_t epoch;
        outcome_basis basis;
        fleet_verdict expected;
    };
    // An engine that checks tokens has one more record, so the claim of `b` has another
    // offset and therefore another epoch.
    const std::uint64_t checked = 5;
    const std::uint64_t ignored = 4;
    const auto applied = fleet_verdict::applied;
    const auto refused = fleet_verdict::not_permitted;
    const row rows[] = {
        {true, "b", checked, outcome_basis::fence, applied},
        {true, "b", checked, outcome_basis::author_dead, applied},
        {true, "b", checked, outcome_basis::author, refused},
        {true, "c", 1, outcome_basis::fence, refused},
        {true, "a", 1, outcome_basis::author, applied},
        {false, "b", ignored, outcome_basis::fence, refused},
        {false, "b", ignored, outcome_basis::author_dead, applied},
        {false, "a", 1, outcome_basis::author, applied},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.checks_fence);
        CAPTURE(std::string(item.writer) + std::string(to_string(item.basis)));
        writer log(item.checks_fence);
        REQUIRE(log.order("a", 1, "o", order_step::load, "m", 60) ==
                fleet_verdict::applied);
        REQUIRE(log.claim("b", 1) == fleet_verdict::applied);
        REQUIRE(log.ledger.lease("r").epoch == (item.checks_fence ? checked : ignored));
        CHECK(log.reserved() == 60);
        CHECK(log.close(item.writer, item.epoch, "o", order_result::not_sent,
                        item.basis) == item.expected);
        CHECK(log.reserved() == (item.expected == applied ? 0 : 60));
    }
}

// Guards against a late order of an earlier holder that reaches a new process of the
// engine, which has no token yet, after its memory was reserved for other models.
TEST_CASE("a new engine process gets no load before it has acknowledged the token")
{
    writer log(true);
    const std::uint64_t changed = log.ledger.find_engine("e")->changed;
    CHECK(log.see(1, changed, true, 0, 2) == fleet_verdict::applied);
    const protocol::order_intent load{{},  "o", 1,  "e", 2, order_step::load,
                                      "m", "1", "", 60,  ""};
    CHECK(log.put("a", load) == fleet_verdict::awaiting_fence);
    CHECK(log.see(1, changed, true, 1, 2) == fleet_verdict::changed_meanwhile);
    CHECK(log.see(1, log.ledger.find_engine("e")->changed, true, 1, 2) ==
          fleet_verdict::applied);
    CHECK(log.put("a", load) == fleet_verdict::applied);
}

// Guards against a repeated append that opens a closed order again.
TEST_CASE("a duplicate record has no effect")
{
    writer log(false);
    log.order("a", 1, "o", order_step::load, "m", 60);
    const std::string copy = log.last;
    log.close("a", 1, "o", order_result::failed, outcome_basis::author);
    CHECK(log.ledger.apply(log.ledger.next_offset(), copy)->verdict ==
          fleet_verdict::duplicate);
    CHECK(log.reserved() == 0);
}

// Guards against open orders being lost when the log deletes the records before a
// snapshot.
TEST_CASE("a ledger that starts from a snapshot equals one that read all records")
{
    writer log(false);
    log.order("a", 1, "o", order_step::load, "m", 60);
    protocol::fleet_snapshot snapshot = log.ledger.snapshot();
    const std::uint64_t first = log.ledger.next_offset();

    order_ledger reader;
    reader.begin_at(first);
    log.put("a", snapshot);
    reader.apply(first, log.last);
    CHECK(reader.is_known());
    // A snapshot that ends before the oldest retained record may lack an order.
    order_ledger late;
    late.begin_at(first + 1);
    late.apply(first + 1, log.last);
    CHECK_FALSE(late.is_known());
    const auto text = [](const order_ledger& ledger)
    { return protocol::format_fleet_record(ledger.snapshot()); };
    CHECK(text(reader) == text(log.ledger));
}
