#include "gateway_fixture.hpp"
#include "state/json_reader.hpp"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>

// The store returns from an older copy: it has lost the newest records and gives out
// their offsets again. The operator and the backend servers write theirs again.

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using state::milliseconds;
using test::gateway_fixture;
using test::raw_reply;
using test::response_text;

raw_reply ok(const transport::http_request& request)
{
    return {{response_text("200 OK", std::string(request["X-Pomelorouter-Attempt-Id"]),
                           "done")}};
}

/// Starts a second gateway that remembers nothing.
std::unique_ptr<app::gateway> start_second(gateway_fixture& test)
{
    state::gateway_settings settings = test.settings;
    settings.node_id = "gateway-2";
    auto result = std::make_unique<app::gateway>(test.loop, settings, test.settings_path,
                                                 *test.adapter, test.counters);
    result->start();
    return result;
}

/// Returns the holder of each epoch that was appended to the lease topic. Fails if two
/// gateways have used the same one.
std::map<std::uint64_t, std::string> lease_holders(const gateway_fixture& test)
{
    std::map<std::uint64_t, std::string> result;
    const auto found = test.store.appended.find("keyed.lease");
    if (found == test.store.appended.end())
        return result;
    for (const std::string& text : found->second)
    {
        const boost::json::value value = state::parse_json(text, "lease record");
        state::json_reader reader(value, "lease record");
        const std::uint64_t epoch = reader.get_uint64("epoch");
        const std::string holder = reader.get_string("holder");
        const auto [item, is_new] = result.emplace(epoch, holder);
        CAPTURE(epoch);
        CHECK(item->second == holder);
    }
    return result;
}

} // namespace

TEST_SUITE_BEGIN("long_restored_store");

// Guards against orders of two holders with one fencing token.
TEST_CASE("an epoch of the placement lease is not used again after the store's return")
{
    gateway_fixture test;
    test.store.era = 1;
    test.add_backend("e1", "models", ok, {"m1"});
    test.put_config(1);
    test.store.save_copy();
    test.start();
    test.run_until([&test] { return test.store.end("keyed.lease") >= 2; });
    test.store.return_to_copy();
    const auto second = start_second(test);
    test.run_until([&second] { return second->is_ready(); });
    test.run_for(milliseconds(6000));
    const std::map<std::uint64_t, std::string> holders = lease_holders(test);
    CHECK(holders.size() >= 2);
    // Somebody holds the lease again.
    const std::uint64_t end = test.store.end("keyed.lease");
    test.run_until([&] { return test.store.end("keyed.lease") > end + 1; });
}

// Guards against a claim that succeeds because the topic ends at the same offset as
// before the store's return.
TEST_CASE("a lease that was taken before the store's return does not continue unnoticed")
{
    gateway_fixture test;
    test.store.era = 1;
    test.add_backend("e1", "models", ok, {"m1"});
    test.put_config(1);
    test.store.save_copy();
    test.start();
    test.run_until([&test] { return test.store.end("keyed.lease") >= 2; });
    const std::uint64_t end = test.store.end("keyed.lease");
    const std::uint64_t last_epoch = lease_holders(test).rbegin()->first;
    test.store.return_to_copy();
    // Another gateway has claimed the lease, and its claim and renewals end there.
    const std::uint64_t epoch = last_epoch + 1000;
    for (std::uint64_t offset = 0; offset < end; ++offset)
    {
        test.store.put("keyed.lease", "placement",
                       R"({"holder":"gateway-3","incarnation":1,"epoch":)" +
                           std::to_string(epoch) + R"(,"release":false})");
    }
    test.run_for(milliseconds(6000));
    const auto holders = lease_holders(test);
    CHECK(holders.rbegin()->first > epoch);
    CHECK(holders.upper_bound(last_epoch)->first == epoch);
}

// Guards against changes of the configuration that are skipped because their offsets were
// in use before.
TEST_CASE("a configuration that is written after the store's return is applied")
{
    gateway_fixture test;
    test.store.era = 1;
    test.put_config(1);
    test.store.save_copy();
    for (int version = 2; version <= 4; ++version)
        test.put_config(version);
    test.start();
    test.run_until(
        [&test] { return test.gateway->shared_state().routes->config().version == 4; });
    test.store.return_to_copy();
    test.put_config(4);
    test.put_config(5);
    test.store.put("keyed.op", "other", "{}");
    test.run_for(milliseconds(3000));
    CHECK(test.gateway->shared_state().routes->config().version == 5);
}

// Guards against requests to a backend server whose notice was skipped because its offset
// was in use before.
TEST_CASE("a backend server that leaves after the store's return gets no requests")
{
    gateway_fixture test;
    test.store.era = 1;
    auto& leaving = test.add_backend("s1", "plain", ok);
    test.put_config(1);
    test.store.save_copy();
    auto& other = test.add_backend("s2", "plain", ok);
    for (int count = 0; count < 3; ++count)
        test.put_entry("s2", "plain", other.address);
    test.start();
    test.store.return_to_copy();
    test.put_entry("s1", "plain", leaving.address, "draining");
    for (int count = 0; count < 3; ++count)
        test.put_entry("s2", "plain", other.address);
    test.run_for(milliseconds(3000));
    const std::size_t before = leaving.requests.size();
    for (int count = 0; count < 10; ++count)
    {
        const auto response =
            test.fetch(test.request("/again/x", "a" + std::to_string(count)));
        REQUIRE(response);
        CHECK(response->result_int() == 200);
    }
    CHECK(leaving.requests.size() == before);
}

// Guards against requests to a backend server that had ended before the store's return
// and is listed in the copy.
TEST_CASE("a backend server that has ended is not used again because of an older copy")
{
    gateway_fixture test;
    test.store.era = 1;
    auto& ended = test.add_backend("s1", "plain", ok);
    test.add_backend("s2", "plain", ok);
    test.put_config(1);
    test.store.save_copy();
    test.start();
    test.run_for(milliseconds(2500));
    test.store.put("keyed.servers", "s1", "");
    test.run_until([&test]
                   { return !test.gateway->shared_state().directory.find("s1"); });
    test.store.return_to_copy();
    test.run_for(milliseconds(3000));
    const std::size_t before = ended.requests.size();
    for (int count = 0; count < 10; ++count)
        test.fetch(test.request("/again/x", "a" + std::to_string(count)));
    CHECK(ended.requests.size() == before);
    // A record that is written now shows that the process runs.
    test.put_entry("s1", "plain", ended.address);
    test.run_until(
        [&test] { return test.gateway->shared_state().directory.find("s1") != nullptr; });
}

// Guards against a backend server that gets no requests because the copy lacks its entry.
TEST_CASE("a backend server that the older copy lacks is used until it writes again")
{
    gateway_fixture test;
    test.store.era = 1;
    test.put_config(1);
    test.store.save_copy();
    auto& server = test.add_backend("s1", "plain", ok);
    test.start();
    test.run_for(milliseconds(2500));
    test.store.return_to_copy();
    const state::time_point end = state::now() + milliseconds(2000);
    for (int count = 0; state::now() < end; ++count)
    {
        const auto response =
            test.fetch(test.request("/again/x", "a" + std::to_string(count)));
        REQUIRE(response);
        CHECK(response->result_int() == 200);
        test.run_for(milliseconds(50));
    }
    test.put_entry("s1", "plain", server.address);
    test.run_for(milliseconds(2000));
    CHECK(test.gateway->shared_state().directory.find("s1") != nullptr);
}

// Guards against gateways that cannot be found because the copy lacks their records.
TEST_CASE("a gateway announces itself again after the store's return")
{
    gateway_fixture test;
    test.store.era = 1;
    test.put_config(1);
    test.store.save_copy();
    test.start();
    test.run_until([&test] { return test.store.end("keyed.gateways") == 1; });
    test.store.return_to_copy();
    test.run_for(milliseconds(3000));
    CHECK(test.store.end("keyed.gateways") == 1);
}

// Guards against a return that only some gateways notice themselves.
TEST_CASE("a gateway learns of the store's return from another gateway")
{
    gateway_fixture test;
    test.store.era = 1;
    test.put_config(1);
    test.start();
    test.run_until([&test] { return test.store.end("keyed.gateways") == 1; });
    const auto second = start_second(test);
    test.run_until(
        [&]
        {
            return second->is_ready() && second->shared_state().gateways == 2 &&
                   test.gateway->shared_state().gateways == 2;
        });
    test.store.save_copy();
    for (int version = 2; version <= 4; ++version)
        test.put_config(version);
    test.run_for(milliseconds(1000));
    test.store.return_to_copy();
    test.put_config(4);
    test.put_config(5);
    test.run_for(milliseconds(3000));
    CHECK(test.gateway->shared_state().routes->config().version == 5);
    CHECK(second->shared_state().routes->config().version == 5);
}

TEST_SUITE_END();
