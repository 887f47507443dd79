#include "coordination/gateway_members.hpp"
#include "coordination/member_notice_queue.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using coordination::gateway_members;
using coordination::member_notice_queue;
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

// Guards against a lost datagram that delays a change at a gateway by a whole rotation.
TEST_CASE("a change is in each of the next three heartbeats")
{
    member_notice_queue news;
    std::vector<member_notice> members = fleet(300);
    news.update(members);
    for (int sent = 0; sent < 100; ++sent)
        news.next(period);
    members[170].is_alive = false;
    news.update(members);
    for (int sent = 0; sent < 3; ++sent)
    {
        const auto announced = news.next(period);
        const bool has_change =
            std::any_of(announced.begin(), announced.end(),
                        [&](const member_notice& notice) { return !notice.is_alive; });
        CHECK(has_change);
        // Gateways without a change are only repeated in rotation.
        CHECK(announced.size() < 12);
    }
}

// Guards against a receiver that starts late or loses datagrams, and never learns of a
// gateway whose state does not change.
TEST_CASE("every gateway is announced within one rotation")
{
    for (const int count : {1, 7, 58, 300, 1000})
    {
        CAPTURE(count);
        member_notice_queue news;
        news.update(fleet(count));
        for (int sent = 0; sent < 1000; ++sent)
            news.next(period);
        std::set<std::string> announced;
        std::size_t most = 0;
        for (milliseconds time{0}; time < coordination::member_rotation; time += period)
        {
            const auto notices = news.next(period);
            most = std::max(most, notices.size());
            for (const member_notice& notice : notices)
                announced.insert(notice.member.node);
        }
        CHECK(announced.size() == static_cast<std::size_t>(count));
        CHECK(most <= static_cast<std::size_t>(count) / 50 + 1);
    }
}

// Guards against a datagram that is too large because a whole zone was lost.
TEST_CASE("many simultaneous changes are distributed over several heartbeats")
{
    member_notice_queue news;
    std::vector<member_notice> members = fleet(300);
    news.update(members);
    std::set<std::string> announced;
    for (int sent = 0; sent < 40; ++sent)
    {
        const auto notices = news.next(period);
        CHECK(notices.size() <= 60);
        for (const member_notice& notice : notices)
            announced.insert(notice.member.node);
    }
    CHECK(announced.size() == 300);
}

TEST_CASE("received heartbeats take precedence over notices of an aggregator")
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
    // A notice about an earlier process does not affect the current one.
    table.on_notice(now, notice_of(4, true, 7));
    table.on_notice(now, notice_of(4, false, 6));
    CHECK(table.is_alive(now, notice_of(4).member.node));
    // A lower incarnation is accepted after the higher one ended: clocks may be set back.
    table.on_notice(now, notice_of(4, false, 7));
    table.on_notice(now, notice_of(4, true, 6));
    CHECK(table.is_alive(now, notice_of(4).member.node));
}

// Guards against gateways that send their reports to one that has failed long ago.
TEST_CASE("a gateway that others depend on is dead unless it is heard within the timeout")
{
    gateway_members table("own");
    state::time_point now{milliseconds(100000)};
    table.on_notice(now, notice_of(2));
    for (int step = 0; step < 15; ++step, now += milliseconds(100))
        table.require_heartbeat(now, notice_of(2).member.node);
    CHECK(table.is_alive(now, notice_of(2).member.node));
    now += milliseconds(1000);
    CHECK_FALSE(table.is_alive(now, notice_of(2).member.node));
}

// Guards against requests of callers being sent to instances of a lost zone.
TEST_CASE("notices about a zone become invalid when none of its gateways is heard")
{
    gateway_members table("own");
    state::time_point now{milliseconds(100000)};
    table.begin_aggregation(now, "zone-a");
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
