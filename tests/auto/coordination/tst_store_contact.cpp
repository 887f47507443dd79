#include "coordination/backend_directory.hpp"
#include "coordination/store_contact.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <string>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::backend_directory;
using coordination::directory_change;
using coordination::store_contact;
using state::milliseconds;
using state::time_point;

constexpr time_point start = time_point() + state::seconds(1000);

state::backend_entry entry(const std::string& id)
{
    state::backend_entry result;
    result.id = id;
    result.incarnation = 1;
    result.service = "plain";
    return result;
}

/// A directory with one entry that is removed when the store answers again.
struct returned_store
{
    returned_store()
    {
        this->directory.apply(start, entry("s1"));
        this->directory.on_store_contact(start + state::seconds(1), false);
        this->directory.on_store_contact(this->back, true);
        CHECK(this->directory.remove(this->back, "s1") ==
              directory_change::removal_deferred);
    }

    bool has_dropped(milliseconds after)
    {
        this->directory.tick(this->back + after);
        return this->directory.find("s1") == nullptr;
    }

    time_point back = start + state::seconds(6);
    backend_directory directory;
};

} // namespace

// Guards against requests to a removed server because a gateway takes a cut of its own
// path for an outage of the store.
TEST_CASE("a removal counts at once if another gateway has read the store all the while")
{
    returned_store test;
    CHECK(test.directory.on_other_contact(test.back + milliseconds(100),
                                          state::seconds(60)));
    CHECK(test.has_dropped(milliseconds(100)));
    CHECK(test.directory.remove(test.back, "s1") == directory_change::none);
}

// Guards against sound servers that are dropped because their entries expired during an
// outage of the store, which other gateways had noticed too.
TEST_CASE("a removal waits for the store's return as the first gateway saw it")
{
    struct report
    {
        std::string name;
        milliseconds heard;
        milliseconds duration;
        milliseconds earliest_drop;
    };
    const report reports[] = {
        {"regained later than here", milliseconds(600), milliseconds(200),
         milliseconds(2300)},
        {"regained at the same time", milliseconds(500), milliseconds(500),
         milliseconds(2300)},
        {"regained a second earlier", milliseconds(500), milliseconds(1500),
         milliseconds(1300)},
        {"heard while it was lost", milliseconds(-100), state::seconds(60),
         milliseconds(2300)},
    };
    for (const report& item : reports)
    {
        CAPTURE(item.name);
        returned_store test;
        if (item.heard.count() < 0)
            test.directory.on_store_contact(test.back + item.heard, false);
        test.directory.on_other_contact(test.back + item.heard, item.duration);
        if (item.heard.count() < 0)
            test.directory.on_store_contact(test.back, true);
        CHECK_FALSE(test.has_dropped(item.earliest_drop - milliseconds(1)));
        CHECK(test.has_dropped(item.earliest_drop));
    }
}

// Guards against an outage after the report that no longer delays removals.
TEST_CASE("a report of another gateway does not outlast the next loss of the store")
{
    returned_store test;
    test.directory.on_other_contact(test.back, state::seconds(60));
    test.directory.apply(test.back, entry("s1"));
    test.directory.on_store_contact(test.back + state::seconds(1), false);
    const time_point again = test.back + state::seconds(6);
    test.directory.on_store_contact(again, true);
    CHECK(test.directory.remove(again, "s1") == directory_change::removal_deferred);
    CHECK(test.directory.tick(again + milliseconds(2299)).empty());
    CHECK(test.directory.tick(again + milliseconds(2300)).size() == 1);
}

// Guards against reports that cover an outage which the gateway has not noticed.
TEST_CASE("the contact with the store lasts as long as its responses are close together")
{
    store_contact contact;
    CHECK_FALSE(contact.duration(start));
    time_point at = start;
    for (int count = 0; count < 10; ++count, at += milliseconds(900))
        contact.on_response(at);
    const time_point last = at - milliseconds(900);
    CHECK(contact.duration(last) == milliseconds(8100));
    SUBCASE("no response for a while")
    {
        CHECK(contact.duration(last + milliseconds(2000)) == milliseconds(8100));
        CHECK_FALSE(contact.duration(last + milliseconds(2001)));
    }
    SUBCASE("a response after a gap, as after a suspension")
    {
        contact.on_response(last + milliseconds(2001));
        CHECK(contact.duration(last + milliseconds(2001)) == milliseconds(0));
    }
    SUBCASE("a failed read, or the store's return from an older copy")
    {
        contact.on_interruption();
        CHECK_FALSE(contact.duration(last));
        contact.on_response(last + milliseconds(300));
        CHECK(contact.duration(last + milliseconds(400)) == milliseconds(0));
    }
}
