#include "gateway_fixture.hpp"
#include "relayed_store.hpp"
#include "scripted_peer.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <string>

// A gateway loses the store and finds it again: its own path was cut, or the store was
// unavailable to all.

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using state::milliseconds;
using test::gateway_fixture;
using test::raw_backend;
using test::raw_reply;
using test::response_text;

/// After the end of a cut a gateway has to act like any other.
constexpr milliseconds contact_time{3000};
/// No request reaches a server later than this after its removal.
constexpr milliseconds drain_time{2000};
constexpr milliseconds cut_length{4000};
/// Entries are written again within this time after the store's return.
constexpr milliseconds return_time{2000};

raw_reply ok(const transport::http_request& request)
{
    return {{response_text("200 OK", std::string(request["X-Pomelorouter-Attempt-Id"]),
                           "done")}};
}

/// The path of one gateway to the store. Calls wait while it is cut.
class store_path : public transport::http_handler
{
public:
    explicit store_path(gateway_fixture& test)
        : fixture(test), server(test.loop, {}, *this, test.counters)
    {
    }

    boost::asio::awaitable<void> handle(transport::http_exchange& exchange) override
    {
        co_await this->wait();
        co_await this->fixture.store.handle(exchange);
        co_await this->wait();
    }

    std::string listen() { return this->server.listen("127.0.0.1:0"); }

    bool is_cut = false;

private:
    boost::asio::awaitable<void> wait() const
    {
        while (this->is_cut)
        {
            boost::asio::steady_timer timer(this->fixture.loop, milliseconds(5));
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
    }

    gateway_fixture& fixture;
    transport::http_server server;
};

/// A gateway of another zone with a path of its own to the fixture's store.
struct cut_gateway
{
    explicit cut_gateway(gateway_fixture& test)
        : path(test),
          adapter(*test.adapter, this->path.listen()),
          gateway(test.loop, settings(test), test.settings_path, this->adapter,
                  test.counters)
    {
        this->gateway.start();
        test.run_until([this] { return this->gateway.is_ready(); });
    }

    static state::gateway_settings settings(const gateway_fixture& test)
    {
        state::gateway_settings result = test.settings;
        result.node_id = "gateway-2";
        result.zone = "zone-b";
        return result;
    }

    bool knows(const std::string& id) const
    {
        return this->gateway.shared_state().directory.find(id) != nullptr;
    }

    store_path path;
    test::relayed_store_adapter adapter;
    app::gateway gateway;
};

bool knows(const gateway_fixture& test, const std::string& id)
{
    return test.gateway->shared_state().directory.find(id) != nullptr;
}

/// Sends requests at `address` and expects that none reaches `removed`.
void check_unused(gateway_fixture& test, const std::string& address,
                  const raw_backend& removed)
{
    const std::size_t before = removed.requests.size();
    for (int count = 0; count < 12; ++count)
    {
        const auto response = test.fetch_from(
            address, test.request("/once/x", "a" + std::to_string(count)));
        REQUIRE(response);
        CHECK(response->result_int() == 200);
    }
    CHECK(removed.requests.size() == before);
}

} // namespace

TEST_SUITE_BEGIN("long_store_cut");

// Guards against requests to a removed server by a gateway that was cut off and takes its
// own cut for an outage of the store (DRAIN).
TEST_CASE(
    "a server that is removed after a cut gets no requests of the gateway behind it")
{
    for (const bool has_lost_history : {false, true})
    {
        CAPTURE(has_lost_history);
        gateway_fixture test;
        auto& leaving = test.add_backend("s1", "plain", ok);
        test.add_backend("s2", "plain", ok);
        test.put_config(1);
        test.start();
        cut_gateway cut(test);
        test.run_until([&] { return cut.gateway.shared_state().gateways == 2; });
        test.run_for(milliseconds(2500));
        cut.path.is_cut = true;
        test.run_for(milliseconds(500));
        if (has_lost_history)
            test.store.compact("keyed.servers");
        test.run_for(cut_length - milliseconds(500));
        const state::time_point healed = state::now();
        // The connection attempt that began during the cut fails, and the next one
        // follows after a delay.
        test.run_for(milliseconds(600));
        test.store.put("keyed.servers", "s1", "");
        test.run_for(milliseconds(150));
        cut.path.is_cut = false;
        test.run_for(contact_time - state::since(healed));
        CHECK_FALSE(cut.knows("s1"));
        check_unused(test, cut.gateway.own_settings().listen, leaving);
    }
}

// Guards against a removal that counts a read period later if the store has dropped the
// records after the gateway's position (DRAIN).
TEST_CASE("the complete list is read at once if the store has dropped its history")
{
    gateway_fixture test;
    auto& leaving = test.add_backend("s1", "plain", ok);
    test.add_backend("s2", "plain", ok);
    test.put_config(1);
    cut_gateway alone(test);
    test.run_for(milliseconds(2500));
    alone.path.is_cut = true;
    test.run_for(milliseconds(500));
    test.store.put("keyed.servers", "other", "bytes of another writer");
    test.store.compact("keyed.servers");
    test.run_for(cut_length - milliseconds(500));
    alone.path.is_cut = false;
    const state::time_point healed = state::now();
    test.run_for(milliseconds(600));
    test.store.put("keyed.servers", "s1", "");
    test.run_for(contact_time - state::since(healed));
    CHECK_FALSE(alone.knows("s1"));
    check_unused(test, alone.gateway.own_settings().listen, leaving);
}

// Guards against sound servers that get no requests because their entries expired while
// the store was unavailable.
TEST_CASE("a server whose entry expires during an outage is kept until it writes again")
{
    for (const bool is_lost_in_turn : {false, true})
    {
        CAPTURE(is_lost_in_turn);
        gateway_fixture test;
        auto& alive = test.add_backend("s1", "plain", ok);
        test.add_backend("s2", "plain", ok);
        test.put_config(1);
        test.start();
        cut_gateway other(test);
        test.run_until([&] { return other.gateway.shared_state().gateways == 2; });
        test.run_for(milliseconds(2500));
        // One of the gateways may lose the store earlier, and regain it later.
        other.path.is_cut = is_lost_in_turn;
        test.run_for(milliseconds(is_lost_in_turn ? 1500 : 0));
        test.store.is_down = true;
        test.run_for(milliseconds(4000));
        test.store.put("keyed.servers", "s1", "");
        test.store.put("keyed.servers", "s2", "");
        test.store.is_down = false;
        const state::time_point back = state::now();
        test.run_for(milliseconds(is_lost_in_turn ? 500 : 0));
        other.path.is_cut = false;
        while (state::since(back) < return_time)
        {
            CHECK(knows(test, "s1"));
            CHECK(other.knows("s1"));
            const auto response = test.fetch(test.request("/once/x", "b"));
            REQUIRE(response);
            CHECK(response->result_int() == 200);
            test.run_for(milliseconds(50));
        }
        test.put_entry("s1", "plain", alive.address);
        test.run_for(milliseconds(2000));
        CHECK(knows(test, "s1"));
        CHECK(other.knows("s1"));
        // The other one did not write again.
        CHECK_FALSE(knows(test, "s2"));
        CHECK_FALSE(other.knows("s2"));
    }
}

// Guards against reports of another gateway that are taken for contact with the store in
// use, although they are of another store or from before its return.
TEST_CASE("only contact with the same store and era shows that it was available")
{
    struct peer_report
    {
        std::string name;
        std::uint64_t store_offset;
        std::uint64_t era_offset;
        std::optional<milliseconds> contact;
        bool is_kept;
    };
    const peer_report reports[] = {
        {"no contact", 0, 0, std::nullopt, true},
        {"another store", 1, 0, state::seconds(60), true},
        {"before the return", 0, 1, state::seconds(60), true},
        {"the same store", 0, 0, state::seconds(60), false},
    };
    for (const peer_report& report : reports)
    {
        CAPTURE(report.name);
        gateway_fixture test;
        test.store.era = 4;
        auto& removed = test.add_backend("s1", "plain", ok);
        test.add_backend("s2", "plain", ok);
        test.put_config(1);
        test::scripted_peer peer(
            test,
            [](const transport::http_request&) -> raw_reply
            { return {{response_text("404 Not Found", "", "")}}; },
            1);
        test.start();
        const std::uint64_t id =
            test.adapter->make_store(test.settings.platform, test.client)->id();
        peer.heartbeat.store_id = id + report.store_offset;
        peer.heartbeat.store_era = test.store.era - report.era_offset;
        test.run_for(milliseconds(2500));
        test.store.is_down = true;
        test.run_for(milliseconds(3000));
        test.store.put("keyed.servers", "s1", "");
        test.store.is_down = false;
        peer.heartbeat.store_contact = report.contact;
        test.run_for(drain_time);
        CHECK(knows(test, "s1") == report.is_kept);
        if (!report.is_kept)
            check_unused(test, test.gateway->own_settings().listen, removed);
    }
}

TEST_SUITE_END();
