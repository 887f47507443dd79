#include "gateway_fixture.hpp"
#include "relayed_store.hpp"

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
constexpr milliseconds cut_length{4000};

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

TEST_SUITE_END();
