#include "gateway_fixture.hpp"
#include "relayed_store.hpp"

#include "transport/address.hpp"

#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using test::gateway_fixture;
using test::raw_reply;
using test::response_text;

raw_reply ok(const transport::http_request& request)
{
    const std::string attempt(request["X-Pomelorouter-Attempt-Id"]);
    const bool is_stream = request.target().starts_with("/stream/");
    return {{response_text("200 OK", attempt, is_stream ? test::event(1) : "done")}};
}

/// Fake engine that reports its models and accepts orders.
struct fake_engine
{
    raw_reply operator()(const transport::http_request& request)
    {
        if (request.target() == "/pomelorouter/report")
        {
            if (!this->report.empty())
            {
                ++this->reports;
                return {{response_text("200 OK", "", this->report)}};
            }
            ++this->reports;
            const std::string body =
                R"({"Pending":[)" + this->pending + R"(],"Sequence":)" +
                std::to_string(this->sequence) + R"(,"Busy":)" +
                (this->is_busy ? "true" : "false") +
                R"(,"Models":[{"Name":"m1","Version":1,"Adapters":[)" + this->adapters +
                "]}]}";
            return {{response_text("200 OK", "", body)}};
        }
        if (request.target() == "/pomelorouter/order")
        {
            if (this->is_busy)
                return {{response_text("409 Conflict", "", "")}};
            this->orders.push_back(request.body());
            if (!this->report.empty())
                this->report = this->report_after_order;
            this->is_busy = request.body().find("unloading") != std::string::npos &&
                            request.body().find("m1/") == std::string::npos;
            ++this->sequence;
            return {{response_text("202 Accepted", "", "")}};
        }
        return ok(request);
    }

    int sequence = 0;
    int reports = 0;
    /// If not empty, the whole report; otherwise it is built from the members below.
    std::string report;
    std::string report_after_order;
    /// The unload of a model has to wait for the streams that use it.
    bool is_busy = false;
    std::string adapters;
    std::string pending;
    std::vector<std::string> orders;
};

state::gateway_settings second_gateway_settings(const gateway_fixture& test)
{
    state::gateway_settings settings = test.settings;
    settings.node_id = "gateway-2";
    settings.seeds = {test.gateway->own_settings().control_listen};
    return settings;
}

/// Another gateway of the zone. Its calls to the store reach another one, which starts as
/// a copy of the given topics of the fixture's store.
struct second_gateway
{
    second_gateway(gateway_fixture& test, const std::vector<std::string>& topics)
        : store(test.loop),
          store_server(test.loop, {}, this->store, test.counters),
          adapter(*test.adapter, this->store_server.listen("127.0.0.1:0")),
          gateway(test.loop, second_gateway_settings(test), test.settings_path,
                  this->adapter, test.counters)
    {
        for (const std::string& topic : topics)
            this->store.copy(topic, test.store);
    }

    test::fake_store store;
    transport::http_server store_server;
    test::relayed_store_adapter adapter;
    app::gateway gateway;
};

} // namespace

// Guards against a configuration change that is missed, or replaced by an older version.
TEST_CASE("a newer configuration is applied and an older or invalid one is ignored")
{
    gateway_fixture test;
    test.add_backend("s1", "plain", ok);
    test.put_config(5);
    test.start();
    const auto version = [&test]
    { return test.gateway->shared_state().routes->config().version; };
    CHECK(version() == 5);
    test.put_config(9);
    test.run_until([&] { return version() == 9; });
    test.put_config(7);
    test.store.put("keyed.op", "config", "not a configuration");
    test.put_config(8);
    test.run_for(state::milliseconds(300));
    CHECK(version() == 9);
    // The store compacts the topic right after a change.
    test.put_config(12);
    test.store.compact("keyed.op");
    test.run_until([&] { return version() == 12; });
}

TEST_CASE(
    "a draining entry stops new requests and a removed one drops the backend server")
{
    gateway_fixture test;
    auto& first = test.add_backend("s1", "plain", ok);
    auto& second = test.add_backend("s2", "plain", ok);
    test.store.put("keyed.servers", "other", "bytes of another writer");
    test.put_config(1);
    test.start();
    const auto send = [&test](int count)
    {
        for (int i = 0; i < count; ++i)
        {
            const auto response =
                test.fetch(test.request("/once/x", "a" + std::to_string(i)));
            REQUIRE(response);
            CHECK(response->result_int() == 200);
        }
    };
    send(12);
    CHECK(first.requests.size() > 0);
    CHECK(second.requests.size() > 0);
    test.put_entry("s1", "plain", first.address, "draining");
    test.run_until(
        [&] { return test.gateway->shared_state().directory.find("s1")->is_leaving; });
    const std::size_t before = first.requests.size();
    send(6);
    CHECK(first.requests.size() == before);
    test.store.put("keyed.servers", "s1", "");
    test.run_until(
        [&]
        {
            // Shortly after the start the gateway treats the store as regained only now.
            return test.gateway->shared_state().directory.find("s1") == nullptr;
        });
}

// Guards against a request that runs at the wrong service because another process reuses
// an address.
TEST_CASE("a backend server that reports another id is removed from the directory")
{
    gateway_fixture test;
    test.add_backend(
        "s1", "plain",
        [](const transport::http_request&)
        {
            return raw_reply{
                {"HTTP/1.1 421 Misdirected\r\nX-Pomelorouter-Instance-Id: s9\r\n"
                 "Content-Length: 0\r\n\r\n"}};
        });
    test.put_config(1);
    test.start();
    const auto response = test.fetch(test.request("/again/x", "a1"));
    REQUIRE(response);
    CHECK(response->result_int() == 503);
    CHECK(test.gateway->shared_state().directory.find("s1") == nullptr);
}

// Guards against a gateway that reports ready or serves requests before it has a
// configuration.
TEST_CASE("a gateway without a configuration refuses requests and is not ready")
{
    gateway_fixture test;
    test.store.is_down = true;
    test.put_config(3);
    test.gateway = std::make_unique<app::gateway>(
        test.loop, test.settings, test.settings_path, *test.adapter, test.counters);
    test.gateway->start();
    const auto response = test.fetch(test.request("/once/x", "a1"));
    REQUIRE(response);
    CHECK(response->result_int() == 503);
    CHECK(response->count("Retry-After") == 1);
    CHECK_FALSE(test.gateway->is_ready());
    test.store.is_down = false;
    test.run_until([&test] { return test.gateway->is_ready(); });
}

// Guards against refusals by processes that were all restarted at the same moment: their
// callers come back only so often.
TEST_CASE("a request that arrives while a gateway starts waits for its first reads")
{
    gateway_fixture test;
    test.store.delay = state::milliseconds(50);
    const test::raw_backend& backend = test.add_backend("s1", "plain", ok);
    test.put_config(1);
    test.gateway = std::make_unique<app::gateway>(
        test.loop, test.settings, test.settings_path, *test.adapter, test.counters);
    test.gateway->start();
    const auto response = test.fetch(test.request("/once/x", "a1"));
    REQUIRE(response);
    CHECK(response->result_int() == 200);
    CHECK(backend.requests.size() == 1);
}

// Guards against a gateway that cannot start while the store is down although another
// gateway has the configuration.
TEST_CASE("a gateway without the store gets the configuration from another gateway")
{
    gateway_fixture test;
    test.add_backend("s1", "plain", ok);
    test.put_config(4);
    test.start();
    test.store.is_down = true;
    const state::gateway_settings settings = second_gateway_settings(test);
    app::gateway other(test.loop, settings, test.settings_path, *test.adapter,
                       test.counters);
    other.start();
    test.run_until([&other] { return other.shared_state().routes != nullptr; });
    CHECK(other.shared_state().routes->config().version == 4);
    test.store.is_down = false;
    test.run_until([&other] { return other.is_ready(); });
}

// Guards against store reads that grow with the number of gateways, and against gateways
// that miss changes when their aggregator loses the store.
TEST_CASE("gateways with an aggregator do not read the store")
{
    gateway_fixture test;
    test.add_backend("s1", "plain", ok);
    test.put_config(4);
    test.start();
    test.run_until([&test] { return test.store.end("keyed.gateways") == 1; });
    second_gateway second(test, {"keyed.servers", "keyed.op", "keyed.gateways"});
    app::gateway& other = second.gateway;
    test::fake_store& other_store = second.store;
    other.start();
    test.run_until([&other] { return other.is_ready(); });
    const auto has_backend = [&other](const char* id)
    { return other.shared_state().directory.find(id) != nullptr; };
    // Only the aggregator's store has these.
    test.add_backend("s2", "plain", ok);
    test.run_until([&has_backend] { return has_backend("s2"); });
    test.store.put("keyed.servers", "s1", "");
    test.run_until([&has_backend] { return !has_backend("s1"); });
    const auto reads = [&other_store]
    {
        return other_store.topic_calls["keyed.servers"] +
               other_store.topic_calls["keyed.op"];
    };
    const int before = reads();
    test.run_for(state::milliseconds(3000));
    CHECK(reads() == before);
    SUBCASE("a configuration change arrives without a read of the store")
    {
        test.put_config(9);
        other_store.copy("keyed.op", test.store);
        test.run_until([&other]
                       { return other.shared_state().routes->config().version == 9; });
        // The aggregator provides it: no gateway reads the store.
        CHECK(reads() == before);
    }
    SUBCASE("an aggregator without the store makes the others read it themselves")
    {
        test.store.is_down = true;
        const auto backend =
            R"({"Service":"plain","Address":"127.0.0.1:9","Zone":"zone-a",)"
            R"("Slots":8,"State":"ready","born":1})";
        other_store.copy("keyed.servers", test.store);
        other_store.put("keyed.servers", "s3", backend);
        test.run_until([&has_backend] { return has_backend("s3"); });
    }
}

// Guards against store calls that grow with the number of gateways at the start of a
// fleet.
TEST_CASE(
    "a gateway that joins a large fleet starts from its aggregator without the store")
{
    gateway_fixture test;
    test.add_backend("s1", "plain", ok);
    test.put_config(4);
    for (int number = 0; number < 20; ++number)
    {
        const std::string name = "later-" + std::to_string(number);
        test.store.put(
            "keyed.gateways", name,
            R"({"node":")" + name +
                R"(","incarnation":1,"zone":"zone-b","frontend":"127.0.0.1:1",)"
                R"("control":"127.0.0.1:1","datagrams":"127.0.0.1:1",)"
                R"("capacity":1})");
    }
    test.start();
    test.run_until([&test] { return test.store.end("keyed.gateways") == 21; });
    second_gateway second(test, {"keyed.gateways"});
    second.gateway.start();
    test.run_until([&second] { return second.gateway.is_ready(); });
    CHECK(second.gateway.shared_state().routes->config().version == 4);
    CHECK(second.gateway.shared_state().directory.find("s1") != nullptr);
    CHECK(second.store.topic_calls["keyed.servers"] == 0);
    CHECK(second.store.topic_calls["keyed.op"] == 0);
}

// Guards against requests from one gateway to a backend server that all others know to be
// leaving.
TEST_CASE("a gateway without the store learns of a leaving server from another gateway")
{
    gateway_fixture test;
    auto& backend = test.add_backend("s1", "plain", ok);
    test.put_config(4);
    test.start();
    second_gateway second(test, {"keyed.servers", "keyed.op"});
    app::gateway& other = second.gateway;
    other.start();
    test.run_until([&other] { return other.is_ready(); });
    second.store.is_down = true;
    const auto is_leaving = [&other]
    {
        const auto known = other.shared_state().directory.find("s1");
        return known != nullptr && known->is_leaving;
    };
    test.run_until([&other] { return other.shared_state().gateways == 2; });
    CHECK_FALSE(is_leaving());
    test.put_entry("s1", "plain", backend.address, "draining");
    test.run_until(is_leaving);
}

// Guards against a gateway that stops following the list of backend servers, or ends,
// because of an entry of another writer.
TEST_CASE("entries of sound backend servers are followed beside odd ones")
{
    const std::string place =
        R"({"Service":"plain","Address":"127.0.0.1:1","State":"ready")";
    const std::vector<std::string> odd_entries{
        std::string(100000, '['),
        place + R"(,"born":1e300})",
        place + R"(,"born":9007199254740991})",
        place + R"(,"RemainingMs":9223372036854775000,"State":"draining"})",
        place + R"(,"Slots":1e300})",
        R"({"Service":"plain","Address":"127.0.0.1:65536","State":"ready"})",
        R"({"Service":"plain","Address":"127.0.0.1:0","State":"ready"})",
        std::string("\0\xff\r\n", 4),
    };
    gateway_fixture test;
    auto& backend = test.add_backend("s1", "plain", ok);
    test.put_config(1);
    const auto put_odd_entries = [&]
    {
        for (const std::string& entry : odd_entries)
        {
            test.store.put("keyed.servers", "s1", entry);
            test.store.put("keyed.servers", "odd", entry);
            test.store.put("keyed.servers", "odd\r\nX: 1 &after=", entry);
        }
    };
    const auto serves = [&test](const std::string& attempt)
    {
        const auto response = test.fetch(test.request("/once/x", attempt));
        return response && response->result_int() == 200;
    };
    put_odd_entries();
    test.put_entry("s1", "plain", backend.address);
    test.start();
    CHECK(serves("a1"));
    put_odd_entries();
    test.run_for(state::milliseconds(1000));
    CHECK(serves("a2"));
    // The process that starts next under the same id is followed.
    test.put_entry("s1", "plain", backend.address, "ready", {}, 2);
    test.run_until(
        [&test]
        {
            const auto known = test.gateway->shared_state().directory.find("s1");
            return known != nullptr && known->entry.incarnation == 2;
        });
    CHECK(serves("a3"));
    CHECK(test.gateway->shared_state().directory.all().size() == 1);
}

// Guards against requests to a backend server that has announced in a response to one
// gateway that it is leaving, while its entry still says ready.
TEST_CASE("a leaving notice in a response is forwarded to the other gateways")
{
    gateway_fixture test;
    auto& backend = test.add_backend(
        "s1", "plain",
        [](const transport::http_request& request)
        {
            return raw_reply{{response_text(
                "200 OK", std::string(request["X-Pomelorouter-Attempt-Id"]), "done",
                "Server-Leaving: 1\r\n")}};
        });
    test.put_config(4);
    test.start();
    test.run_until([&test] { return test.store.end("keyed.gateways") == 1; });
    second_gateway second(test, {"keyed.servers", "keyed.op", "keyed.gateways"});
    app::gateway& other = second.gateway;
    other.start();
    test.run_until([&other] { return other.shared_state().gateways == 2; });
    const auto is_leaving = [&other]
    {
        const auto known = other.shared_state().directory.find("s1");
        return known != nullptr && known->is_leaving;
    };
    CHECK_FALSE(is_leaving());
    REQUIRE(test.fetch(test.request("/once/x", "a1")));
    test.run_until(is_leaving);
    // A delayed older entry does not make the backend server usable again.
    second.store.put("keyed.servers", "s1", "");
    test.put_entry("s1", "plain", backend.address);
    second.store.copy("keyed.servers", test.store);
    test.run_for(state::milliseconds(2000));
    CHECK(is_leaving());
}

// Guards against requests to a backend server that has been gone for longer than a
// gateway may take to notice after it lost contact with the store.
TEST_CASE(
    "a backend server removed during a store outage is dropped within 4 s of its end")
{
    gateway_fixture test;
    test.add_backend("s1", "plain", ok);
    test.add_backend("s2", "plain", ok);
    test.put_config(1);
    test.start();
    test.store.is_silent = true;
    test.run_for(state::milliseconds(900));
    test.store.put("keyed.servers", "s1", "");
    // The gateway is waiting for a store call that gets no response.
    test.store.is_silent = false;
    const auto regained = std::chrono::steady_clock::now();
    test.run_until(
        [&test] { return test.gateway->shared_state().directory.find("s1") == nullptr; });
    constexpr state::milliseconds contact_time{4000};
    CHECK(std::chrono::steady_clock::now() - regained < contact_time);
}

// Guards against an order that exceeds the adapter slots of an engine: adapters that are
// being loaded already occupy slots.
TEST_CASE("an engine with pending adapters gets no order")
{
    gateway_fixture test;
    fake_engine engine;
    engine.pending = R"("m1/a5@1")";
    test.add_backend("e1", "models",
                     [&engine](const transport::http_request& request)
                     { return engine(request); },
                     {"m1"});
    test.put_config(1);
    test.start();
    test.run_until([&engine] { return engine.reports >= 2; });
    test.run_for(state::milliseconds(600));
    CHECK(engine.orders.empty());
    engine.pending = "";
    test.run_until([&engine] { return !engine.orders.empty(); });
}

// Guards against requests for a model that its engine is unloading: until its last stream
// has ended, the engine still lists the model but refuses new requests for it.
TEST_CASE("a model that is being unloaded gets no requests")
{
    gateway_fixture test;
    std::map<std::string, fake_engine> engines;
    std::map<std::string, std::string> addresses;
    for (const std::string id : {"e1", "e2"})
    {
        addresses[id] = test.add_backend(id, "models",
                                         [&engine = engines[id]](
                                             const transport::http_request& request)
                                         { return engine(request); },
                                         {"m1"})
                            .address;
    }
    test.put_config(1, 30000, 2, 25000);
    test.start();
    // Another model needs the memory. No order is sent until the list of engines is
    // stable.
    transport::http_request request = test.request("/stream/x", "a1", "large");
    request.set("X-Pomelorouter-Deadline-Ms", "6000");
    CHECK(test.fetch(request)->result_int() == 503);
    const auto is_unloading = [](const auto& item)
    {
        for (const std::string& order : item.second.orders)
        {
            if (order.find(R"("Operation":"unloading","Model":"m1")") !=
                std::string::npos)
                return true;
        }
        return false;
    };
    const auto found = std::find_if(engines.begin(), engines.end(), is_unloading);
    REQUIRE(found != engines.end());
    const auto& [id, engine] = *found;
    const auto lists_model = [&test, &id = id]
    {
        const auto backend = test.gateway->shared_state().directory.find(id);
        return backend->entry.find_model("m1") != nullptr;
    };
    int listed = 0;
    for (int round = 0; round < 15; ++round)
    {
        test.put_entry(id, "models", addresses[id], "ready", {"m1"});
        test.run_for(state::milliseconds(200));
        listed += lists_model() ? 1 : 0;
    }
    CHECK(listed == 0);
}

// Guards against an order that exceeds the memory of an engine: the gateway has not seen
// the end of the previous load.
TEST_CASE("an engine that returns to the list is queried before the next order")
{
    gateway_fixture test;
    fake_engine engine;
    engine.report = R"({"Sequence":0,"Busy":false,"Models":[]})";
    engine.report_after_order = "cut off";
    const auto& backend = test.add_backend(
        "e1", "models",
        [&engine](const transport::http_request& request) { return engine(request); });
    test.put_config(1, 30000, 1, 25000);
    test.start();
    const auto ask_for = [&test](const std::string& model, const std::string& deadline)
    {
        transport::http_request request = test.request("/stream/x", model, model);
        request.set("X-Pomelorouter-Deadline-Ms", deadline);
        return test.fetch(request);
    };
    // The load is ordered and still runs when the engine is removed from the list.
    CHECK(ask_for("large", "6000")->result_int() == 503);
    REQUIRE(engine.orders.size() == 1);
    test.store.put("keyed.servers", "e1", "");
    test.run_until(
        [&test] { return test.gateway->shared_state().directory.find("e1") == nullptr; });
    test.run_for(state::milliseconds(1000));
    engine.report =
        R"({"Sequence":1,"Busy":false,"Models":[{"Name":"large","Version":1,"Adapters":[]}]})";
    test.put_entry("e1", "models", backend.address);
    test.run_until(
        [&test] { return test.gateway->shared_state().directory.find("e1") != nullptr; });
    CHECK(ask_for("m1", "3000")->result_int() == 503);
    CHECK(engine.orders.size() == 1);
}

TEST_CASE("an adapter that a request needs is loaded")
{
    gateway_fixture test;
    fake_engine engine;
    test.add_backend("e1", "models",
                     [&engine](const transport::http_request& request)
                     { return engine(request); },
                     {"m1"});
    test.put_config(1);
    test.start();
    // No gateway sends orders while gateways that start together discover one another.
    test.run_until([&engine] { return engine.reports > 0; });
    const auto response = test.fetch(test.request("/stream/x", "a1", "m1/a2"));
    REQUIRE(response);
    CHECK(response->result_int() == 200);
    REQUIRE_FALSE(engine.orders.empty());
    CHECK(engine.orders.front().find(R"("Operation":"loading","Model":"m1")") !=
          std::string::npos);
    CHECK(engine.orders.front().find(R"("FencingToken":1)") != std::string::npos);
    CHECK(engine.orders.front().find(R"("Expected":0)") != std::string::npos);
}

// Guards against a lease that is lost or claimed twice because the response to an append
// was lost.
TEST_CASE("a claim whose response was lost gives the lease exactly once")
{
    gateway_fixture test;
    fake_engine engine;
    test.add_backend("e1", "models",
                     [&engine](const transport::http_request& request)
                     { return engine(request); },
                     {"m1"});
    test.put_config(1);
    test.store.drops_append_responses = true;
    test.start();
    test.run_until([&test] { return test.store.end("keyed.lease") >= 1; });
    test.store.drops_append_responses = false;
    test.run_until([&engine] { return !engine.orders.empty(); });
    CHECK(engine.orders.front().find(R"("FencingToken":1)") != std::string::npos);
}

TEST_CASE("callers get the addresses of their zone, or all if it has fewer than two")
{
    const std::vector<app::gateway_address> gateways{
        {"a1", "zone-a"}, {"a2", "zone-a"}, {"b1", "zone-b"}};
    CHECK(app::choose_addresses(gateways, "zone-a") ==
          std::vector<std::string>{"a1", "a2"});
    // With a single address, callers would have no alternative when it fails.
    CHECK(app::choose_addresses(gateways, "zone-b").size() == 3);
    CHECK(app::choose_addresses(gateways, "zone-c").size() == 3);
    CHECK(app::choose_addresses({}, "zone-a").empty());
}
