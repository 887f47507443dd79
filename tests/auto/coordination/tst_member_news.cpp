#include "coordination/gateway_members.hpp"
#include "coordination/member_news.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::gateway_members;
using coordination::member_news;
using protocol::member_notice;
using state::milliseconds;

constexpr milliseconds period{200};

member_notice notice_of(int index, bool is_alive = true, std::uint64_t incarnation = 1)
{
    member_notice notice;
    notice.member.node = "n" + std::to_string(1000 + index);
    notice.member.incarnation = incarnation;
    notice.member.zone = index % 2 == 0 ? "zone-a" : "zone-b";
    notice.member.ready = true;
    notice.is_alive = is_alive;
    return notice;
}

std::vector<member_notice> fleet(int count)
{
    std::vector<member_notice> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index)
        result.push_back(notice_of(index));
    return result;
}

protocol::gateway_heartbeat heartbeat_of(const member_notice& notice,
                                         std::uint64_t counter)
{
    protocol::gateway_heartbeat heartbeat;
    heartbeat.origin = notice.member;
    heartbeat.counter = counter;
    heartbeat.period = period;
    return heartbeat;
}

} // namespace

// Guards against a change that a lost datagram keeps from a gateway for a whole round.
TEST_CASE("a change is told at once and more than once")
{
    member_news news;
    std::vector<member_notice> members = fleet(300);
    news.update(members);
    for (int sent = 0; sent < 100; ++sent)
        news.next(period);
    members[170].is_alive = false;
    news.update(members);
    for (int sent = 0; sent < 3; ++sent)
    {
        const auto told = news.next(period);
        const bool has_change =
            std::any_of(told.begin(), told.end(),
                        [&](const member_notice& notice) { return !notice.is_alive; });
        CHECK(has_change);
        // The rest of the fleet does not come along.
        CHECK(told.size() < 12);
    }
}

// Guards against a receiver that came late, or lost some datagrams, and never learns of a
// gateway that does not change.
TEST_CASE("every gateway is told of within one round")
{
    for (const int count : {1, 7, 58, 300, 1000})
    {
        CAPTURE(count);
        member_news news;
        news.update(fleet(count));
        for (int sent = 0; sent < 1000; ++sent)
            news.next(period);
        std::set<std::string> told;
        std::size_t most = 0;
        for (milliseconds time{0}; time < coordination::member_round; time += period)
        {
            const auto notices = news.next(period);
            most = std::max(most, notices.size());
            for (const member_notice& notice : notices)
                told.insert(notice.member.node);
        }
        CHECK(told.size() == static_cast<std::size_t>(count));
        CHECK(most <= static_cast<std::size_t>(count) / 50 + 1);
    }
}

// Guards against a lost zone whose changes need a datagram that is too large.
TEST_CASE("many changes at once are spread over some heartbeats")
{
    member_news news;
    std::vector<member_notice> members = fleet(300);
    news.update(members);
    std::set<std::string> told;
    for (int sent = 0; sent < 40; ++sent)
    {
        const auto notices = news.next(period);
        CHECK(notices.size() <= 60);
        for (const member_notice& notice : notices)
            told.insert(notice.member.node);
    }
    CHECK(told.size() == 300);
}

TEST_CASE("what a gateway hears itself goes before what it is told")
{
    gateway_members table("own");
    state::time_point now{milliseconds(100000)};
    const member_notice notice = notice_of(2);
    table.on_notice(now, notice);
    CHECK(table.is_alive(now, notice.member.node));
    CHECK_FALSE(table.is_heard(now, notice.member.node));
    CHECK(table.ready(now).size() == 1);
    table.on_notice(now, notice_of(2, false));
    CHECK_FALSE(table.is_alive(now, notice.member.node));
    REQUIRE(table.on_heartbeat(now, heartbeat_of(notice, 1)));
    table.on_notice(now, notice_of(2, false));
    CHECK(table.is_alive(now, notice.member.node));
    // A message about an earlier process says nothing of the present one.
    table.on_notice(now, notice_of(4, true, 7));
    table.on_notice(now, notice_of(4, false, 6));
    CHECK(table.is_alive(now, notice_of(4).member.node));
    // An older process counts once the newer one is gone: clocks can be set back.
    table.on_notice(now, notice_of(4, false, 7));
    table.on_notice(now, notice_of(4, true, 6));
    CHECK(table.is_alive(now, notice_of(4).member.node));
}

// Guards against gateways that report to one that has been dead for long.
TEST_CASE("a gateway that is relied on has to be heard soon")
{
    gateway_members table("own");
    state::time_point now{milliseconds(100000)};
    table.on_notice(now, notice_of(2));
    for (int step = 0; step < 15; ++step, now += milliseconds(100))
        table.rely_on(now, notice_of(2).member.node);
    CHECK(table.is_alive(now, notice_of(2).member.node));
    now += milliseconds(1000);
    CHECK_FALSE(table.is_alive(now, notice_of(2).member.node));
}

// Guards against callers who are sent to the instances of a zone that is lost.
TEST_CASE("what was said of a zone ends when nobody of it is heard any more")
{
    gateway_members table("own");
    state::time_point now{milliseconds(100000)};
    table.begin_to_aggregate(now, "zone-a");
    for (int index = 1; index < 60; ++index)
        table.on_notice(now, notice_of(index));
    REQUIRE(table.on_heartbeat(now, heartbeat_of(notice_of(1), 1)));
    table.drop_silent_zones(now, "zone-a");
    CHECK(table.alive(now).size() == 59);
    now += milliseconds(3900);
    table.drop_silent_zones(now, "zone-a");
    CHECK(table.is_alive(now, notice_of(3).member.node));
    now += milliseconds(200);
    table.drop_silent_zones(now, "zone-a");
    CHECK_FALSE(table.is_alive(now, notice_of(3).member.node));
    CHECK(table.is_alive(now, notice_of(4).member.node));
}
