#include "protocol/backend_page.hpp"
#include "protocol/gateway_heartbeat.hpp"
#include "protocol/send_permit.hpp"
#include "protocol/sse_event_splitter.hpp"
#include "protocol/stream_origin_notice.hpp"
#include "state/error.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using protocol::gateway_heartbeat;
using protocol::sse_event_splitter;

gateway_heartbeat sample()
{
    gateway_heartbeat heartbeat;
    heartbeat.origin = {"n1", 17, "zone-a", "1.2.3.4:1", "1.2.3.4:2", "1.2.3.4:3", true};
    heartbeat.counter = 9;
    heartbeat.config_version = 41;
    heartbeat.lease = {"n2", 5, 77};
    heartbeat.scope = protocol::load_scope::zone;
    heartbeat.period = state::milliseconds(400);
    heartbeat.loads = {{"e1@3", 4, 2000, 1, 12.5, 9000, 3, 2}};
    heartbeat.rates = {
        {"models", "m1", "a1", 1.5, 3000.0, 2500.0, 2, 4100, {0, 4000, 0, 100}}};
    heartbeat.weights = {{"e1", 3, 8, {{"m1", 2, {"a1", "a2"}}}}};
    heartbeat.leaving = {{"e4", 6}};
    heartbeat.limits = {{"e1@3", 0.5, state::milliseconds(120)},
                        {"e2@1", std::nullopt, state::milliseconds(0)}};
    heartbeat.teams = {{"team-a", 250.5, 200.0}};
    heartbeat.team_reporters = 71;
    heartbeat.store_era = 3;
    heartbeat.store_id = 4294967296;
    heartbeat.store_contact = state::milliseconds(1700);
    heartbeat.speeds = {{"models", 38.7, 10.1, 0.2, 30.0}};
    return heartbeat;
}

} // namespace

TEST_CASE("a decoded heartbeat equals the encoded one")
{
    const auto copy =
        protocol::decode_gateway_heartbeat(protocol::encode_gateway_heartbeat(sample()));
    CHECK(copy.origin.node == "n1");
    CHECK(copy.origin.incarnation == 17);
    CHECK(copy.origin.datagrams == "1.2.3.4:3");
    CHECK(copy.origin.ready);
    CHECK(copy.counter == 9);
    CHECK(copy.config_version == 41);
    CHECK(copy.lease.holder == "n2");
    CHECK(copy.lease.end_offset == 77);
    CHECK(copy.scope == protocol::load_scope::zone);
    CHECK(copy.period == state::milliseconds(400));
    REQUIRE(copy.loads.size() == 1);
    CHECK(copy.loads[0].waiting_tokens == 2000);
    CHECK(copy.loads[0].prompt_rate == 12.5);
    CHECK(copy.loads[0].memory_tokens == 9000);
    CHECK(copy.loads[0].behind_streams == 3);
    CHECK(copy.loads[0].urgent_behind_streams == 2);
    REQUIRE(copy.rates.size() == 1);
    CHECK(copy.rates[0].usual_tokens_per_s == 2500.0);
    CHECK(copy.rates[0].waiting == 2);
    CHECK(copy.rates[0].queued_tokens == 4100);
    CHECK(copy.rates[0].queued_by_rank == protocol::tokens_by_rank{0, 4000, 0, 100});
    REQUIRE(copy.teams.size() == 1);
    CHECK(copy.teams[0].asked_per_s == 250.5);
    CHECK(copy.teams[0].admitted_per_s == 200.0);
    CHECK(copy.team_reporters == 71);
    CHECK(copy.store_era == 3);
    CHECK(copy.store_id == 4294967296);
    CHECK(copy.store_contact == state::milliseconds(1700));
    REQUIRE(copy.speeds.size() == 1);
    CHECK(copy.speeds[0].prompt_tokens_per_ms == 38.7);
    CHECK(copy.speeds[0].step_ms_per_request == 0.2);
    REQUIRE(copy.weights.size() == 1);
    CHECK(copy.weights[0].models[0].adapters.size() == 2);
    CHECK(copy.leaving[0].incarnation == 6);
    REQUIRE(copy.limits.size() == 2);
    CHECK(copy.limits[0].per_s == 0.5);
    CHECK(copy.limits[0].age == state::milliseconds(120));
    CHECK(!copy.limits[1].per_s);
}

// A rate that is not a number would spread through the sums of all gateways.
TEST_CASE("odd rates in a heartbeat are read as 0")
{
    gateway_heartbeat heartbeat = sample();
    heartbeat.teams = {{"team-a", std::numeric_limits<double>::quiet_NaN(), -3.0}};
    heartbeat.speeds = {
        {"models", std::numeric_limits<double>::infinity(), 1.0, 0.0, 0.0}};
    const auto copy =
        protocol::decode_gateway_heartbeat(protocol::encode_gateway_heartbeat(heartbeat));
    CHECK(copy.teams[0].asked_per_s == 0.0);
    CHECK(copy.teams[0].admitted_per_s == 0.0);
    CHECK(copy.speeds[0].prompt_tokens_per_ms == 0.0);
}

TEST_CASE("a permit request and its grant are decoded, odd values give a typed error")
{
    const auto request = protocol::decode_permit_request(
        protocol::encode_permit_request({"e1@3", 0.5, 2, true}));
    CHECK(request.backend == "e1@3");
    CHECK(request.per_s == 0.5);
    CHECK(request.count == 2);
    CHECK(request.is_urgent);
    const auto grant = protocol::decode_permit_grant(
        protocol::encode_permit_grant({2, state::milliseconds(70)}));
    CHECK(grant.count == 2);
    CHECK(grant.wait == state::milliseconds(70));
    const std::vector<protocol::permit_request> odd_requests{
        {"", 1.0, 1, false},
        {"e1@3", -1.0, 1, false},
        {"e1@3", std::nan(""), 1, false},
        {"e1@3", 1.0, 0, false},
        {"e1@3", 1.0, 1000000, false},
    };
    for (const protocol::permit_request& odd : odd_requests)
    {
        CHECK_THROWS_AS(
            protocol::decode_permit_request(protocol::encode_permit_request(odd)),
            state::error);
    }
    CHECK_THROWS_AS(protocol::decode_permit_grant("nonsense"), state::error);
    CHECK_THROWS_AS(protocol::decode_permit_grant(
                        protocol::encode_permit_grant({1, state::milliseconds(-5)})),
                    state::error);
}

TEST_CASE("malformed datagrams are rejected with a typed error")
{
    const std::string whole = protocol::encode_gateway_heartbeat(sample());
    const auto code_of = [](const std::string& datagram)
    {
        try
        {
            protocol::decode_gateway_heartbeat(datagram);
        }
        catch (const state::error& failure)
        {
            return failure.code();
        }
        return state::error_code::internal;
    };
    CHECK(code_of("") == state::error_code::malformed_frame);
    std::string other = whole;
    other[0] = 9;
    CHECK(code_of(other) == state::error_code::unsupported_version);
    for (std::size_t size = 1; size < whole.size() - 1; size += 3)
    {
        CAPTURE(size);
        CHECK(code_of(whole.substr(0, size)) == state::error_code::malformed_frame);
    }
    gateway_heartbeat large = sample();
    large.loads.resize(5000, {std::string(20, 'x'), 1, 1, 0, 0.0});
    CHECK_THROWS_AS(protocol::encode_gateway_heartbeat(large), state::error);
}

// Guards against a heartbeat that is not sent at all, with the versions and the leaving
// backend servers in it, because its lists of loads and rates are too long.
TEST_CASE("a heartbeat with long lists is shortened to the size of a datagram")
{
    gateway_heartbeat large = sample();
    large.members.resize(200, {large.origin, true});
    for (std::uint32_t number = 0; number < 500; ++number)
    {
        const std::string id = "backend-server-" + std::to_string(number);
        large.loads.push_back({id + "@1790000000", number, 1, 0, 0.5});
        large.rates.push_back({"assistant", id, "a1", 1.0, 100.0, 100.0, number});
    }
    CHECK_THROWS_AS(protocol::encode_gateway_heartbeat(large), state::error);
    const std::string datagram = protocol::encode_within_limit(large);
    CHECK(datagram.size() <= protocol::gateway_datagram_max_bytes);
    const gateway_heartbeat copy = protocol::decode_gateway_heartbeat(datagram);
    CHECK(copy.config_version == large.config_version);
    CHECK(copy.lease.epoch == large.lease.epoch);
    REQUIRE(copy.leaving.size() == 1);
    CHECK(copy.leaving.front().id == "e4");
    CHECK(copy.weights.size() == large.weights.size());
    // The largest demand remains.
    CHECK(copy.rates.size() >= 100);
    for (const protocol::weight_rate_entry& rate : copy.rates)
        CHECK(rate.waiting >= 500 - copy.rates.size());
    CHECK(protocol::encode_within_limit(sample()) ==
          protocol::encode_gateway_heartbeat(sample()));
}

// Guards against a stream that is split or continued in the middle of an event.
TEST_CASE("a stream is split at event boundaries for every chunk size")
{
    const std::string stream =
        "id: 1\ndata: a\n\nversions: 3\nid: 2\ndata: b\ndata: c\n\n"
        "id: 7\r\ndata: d\r\n\r\n";
    const std::string rest = "id: 8\nda";
    for (std::size_t piece = 1; piece < stream.size(); ++piece)
    {
        CAPTURE(piece);
        sse_event_splitter cutter;
        std::string out;
        const std::string all = stream + rest;
        for (std::size_t from = 0; from < all.size(); from += piece)
            out += cutter.feed(all.substr(from, piece));
        CHECK(out == stream);
        CHECK(cutter.incomplete_event() == rest);
        CHECK(cutter.last_id() == 7);
        CHECK(cutter.events() == 3);
    }
    sse_event_splitter none;
    none.feed("data: without an id\n\n");
    CHECK_FALSE(none.last_id().has_value());
}

TEST_CASE("a stream whose incomplete events are taken has the same bytes, events and ids")
{
    // Guards against bytes that are lost or passed on twice, and against an id that is
    // read from the middle of a line or overlooked at a boundary.
    const std::string long_line(100, 'x');
    const std::string stream = "id: 1\ndata: a\n\ndata: " + long_line +
                               "id: 5\nid: 2\ndata: b\n\n"
                               "id: 7\r\ndata: d\r\n\r\n" +
                               long_line + "\nid: 8\n\n";
    for (std::size_t piece = 1; piece <= stream.size(); ++piece)
    {
        CAPTURE(piece);
        sse_event_splitter cutter;
        std::string out;
        std::size_t longest_held = 0;
        std::vector<std::uint64_t> ids;
        for (std::size_t from = 0; from < stream.size(); from += piece)
        {
            out += cutter.feed(std::string_view(stream).substr(from, piece));
            out += cutter.take_incomplete_event();
            CHECK(out == stream.substr(0, from + piece));
            CHECK(cutter.has_taken_part() == !cutter.incomplete_event().empty());
            longest_held = std::max(longest_held, cutter.incomplete_event().size());
            const std::uint64_t id = cutter.last_id().value_or(0);
            if (ids.empty() || ids.back() != id)
                ids.push_back(id);
        }
        CHECK(cutter.events() == 4);
        CHECK(longest_held <= 65);
        CHECK(cutter.last_id() == 8);
        for (const std::uint64_t id : ids)
            CHECK((id == 0 || id == 1 || id == 2 || id == 7 || id == 8));
    }
    sse_event_splitter cutter;
    cutter.feed(long_line);
    cutter.take_incomplete_event();
    cutter.feed(long_line);
    CHECK(cutter.incomplete_size() == 2 * long_line.size());
    cutter.discard_incomplete_event();
    CHECK(cutter.incomplete_size() == 0);
    CHECK(!cutter.has_taken_part());
}

TEST_CASE("a decoded page of backend servers equals the encoded one")
{
    protocol::backend_page page;
    page.next = 12;
    page.list_reachable = true;
    page.store_era = 3;
    page.store_id = 4294967296;
    const std::string bytes("\x00\xff any", 6);
    page.records = {
        {10, "a", bytes, false}, {11, "b", std::nullopt, false}, {12, "c", {}, true}};
    const auto copy = protocol::decode_backend_page(protocol::encode_backend_page(page));
    CHECK(copy.next == 12);
    CHECK(copy.store_era == 3);
    CHECK(copy.store_id == 4294967296);
    CHECK_FALSE(copy.is_full_list);
    CHECK(copy.list_reachable);
    CHECK_FALSE(copy.settings_reachable);
    REQUIRE(copy.records.size() == 3);
    CHECK(copy.records[0].value == bytes);
    CHECK_FALSE(copy.records[1].value.has_value());
    CHECK(copy.records[2].is_removal);
    const std::string whole = protocol::encode_backend_page(page);
    for (std::size_t size = 0; size + 1 < whole.size(); ++size)
        CHECK_THROWS_AS(protocol::decode_backend_page(whole.substr(0, size)),
                        state::error);
}

TEST_CASE("a decoded notice of stream origins equals the encoded one")
{
    const std::string datagram =
        protocol::encode_origin_notice({{"a1", "v1"}, {"a2", ""}});
    CHECK(protocol::is_origin_notice(datagram));
    CHECK_FALSE(protocol::is_origin_notice(protocol::encode_gateway_heartbeat(sample())));
    const auto copy = protocol::decode_origin_notice(datagram);
    REQUIRE(copy.size() == 2);
    CHECK(copy[0].attempt == "a1");
    CHECK(copy[0].software == "v1");
    CHECK(copy[1].software.empty());
    SUBCASE("what exceeds the limits is left out")
    {
        std::vector<protocol::stream_origin> many(1000, {"a", "v"});
        many[0].attempt = std::string(1000, 'a');
        many[1].attempt.clear();
        many[2].software = std::string(1000, 'v');
        CHECK(
            protocol::decode_origin_notice(protocol::encode_origin_notice(many)).size() ==
            protocol::max_origins_per_notice);
    }
    SUBCASE("truncated and changed bytes are refused or read, and nothing else")
    {
        for (std::size_t size = 0; size < datagram.size(); ++size)
            CHECK_THROWS_AS(protocol::decode_origin_notice(datagram.substr(0, size)),
                            state::error);
        for (std::size_t at = 0; at < datagram.size(); ++at)
        {
            std::string changed = datagram;
            changed[at] = static_cast<char>(changed[at] ^ 0x55);
            try
            {
                protocol::decode_origin_notice(changed);
            }
            catch (const state::error&)
            {
            }
        }
    }
}
