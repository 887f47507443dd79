#include "coordination/backend_feed.hpp"
#include "state/error.hpp"

#include <doctest/doctest.h>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::backend_feed;
using coordination::feed_record;

/// Creates a record whose text is unique, like that of real entries, which contain a
/// sequence number.
feed_record record_of(std::uint64_t offset, const std::string& key, int slots)
{
    feed_record record{offset, key, "text " + std::to_string(offset), false, {}};
    record.entry.emplace();
    record.entry->id = key;
    record.entry->slots = slots;
    return record;
}

feed_record removal_of(std::uint64_t offset, const std::string& key)
{
    return {offset, key, "", true, {}};
}

/// Applies a page in the same way as a gateway.
void apply_page(backend_feed& receiver, const protocol::backend_page& page)
{
    std::vector<feed_record> records = receiver.complete(page);
    for (feed_record& record : records)
    {
        if (!record.entry && !record.is_removal)
            record.entry.emplace();
    }
    if (page.is_full_list)
        receiver.replace_all(page.next, records);
    for (const feed_record& record : records)
        receiver.apply(record);
    receiver.set_next(page.next);
}

} // namespace

TEST_CASE("a page omits the values that the receiver already knows")
{
    backend_feed feed;
    feed.replace_all(3,
                     {record_of(0, "a", 4), record_of(1, "b", 4), record_of(2, "c", 4)});
    backend_feed receiver;
    apply_page(receiver, feed.page(std::nullopt));
    REQUIRE(receiver.next() == 3);
    feed.apply(record_of(3, "a", 4));
    feed.apply(record_of(4, "b", 9));
    feed.apply(removal_of(5, "c"));
    feed.set_next(6);
    const protocol::backend_page page = feed.page(3);
    REQUIRE(page.records.size() == 3);
    CHECK_FALSE(page.is_full_list);
    CHECK_FALSE(page.records[0].value.has_value());
    CHECK(page.records[1].value == "text 4");
    CHECK(page.records[2].is_removal);
    const std::vector<feed_record> complete = receiver.complete(page);
    CHECK(complete[0].value == "text 0");
    CHECK(complete[1].value == "text 4");
    apply_page(receiver, page);
    CHECK(receiver.page(std::nullopt).records.size() == 2);
}

TEST_CASE("a value written again after a removal is sent")
{
    backend_feed feed;
    feed.replace_all(1, {record_of(0, "a", 4)});
    feed.apply(removal_of(1, "a"));
    feed.apply(record_of(2, "a", 4));
    feed.set_next(3);
    CHECK(feed.page(1).records.at(0).value.has_value());
    CHECK_FALSE(feed.page(1).is_full_list);
    // An older record, from a gateway that lags behind, is ignored.
    feed.apply(removal_of(1, "a"));
    CHECK(feed.page(std::nullopt).records.size() == 1);
}

TEST_CASE("a request for an unknown offset is answered with all records")
{
    backend_feed feed;
    feed.replace_all(100, {record_of(90, "a", 4)});
    CHECK(feed.page(99).is_full_list);
    CHECK_FALSE(feed.page(100).is_full_list);
    CHECK(feed.page(100).records.empty());
    backend_feed other;
    other.replace_all(100, {});
    feed.apply(record_of(100, "a", 4));
    // The receiver does not know the value that the page omits.
    CHECK_THROWS_AS(other.complete(feed.page(100)), state::error);
}

TEST_CASE("the oldest removals are dropped when there are too many")
{
    backend_feed feed;
    feed.replace_all(0, {});
    std::uint64_t offset = 0;
    for (int server = 0; server < 2000; ++server)
        feed.apply(removal_of(offset++, "s" + std::to_string(server)));
    feed.set_next(offset);
    CHECK(feed.page(offset - 1).records.size() == 1);
    CHECK_FALSE(feed.page(offset - 100).is_full_list);
    CHECK(feed.page(5).is_full_list);
    CHECK(feed.page(5).records.empty());
}
