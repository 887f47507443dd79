#include "gateway_fixture.hpp"

#include "transport/address.hpp"

#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using test::gateway_fixture;
using test::raw_reply;
using test::reply_end;
using test::response_text;

raw_reply ok(const transport::http_request& request)
{
    return {{response_text("200 OK", std::string(request["X-Pomelorouter-Attempt-Id"]),
                           "done")}};
}

} // namespace

// Guards against a planned stop that aborts a request.
TEST_CASE("a planned stop completes requests and closes their connections")
{
    gateway_fixture test;
    test.settings.grace_period = state::milliseconds(8000);
    test.add_backend("s1", "plain",
                     [](const transport::http_request& request)
                     {
                         raw_reply reply = ok(request);
                         reply.pause = state::milliseconds(3200);
                         return reply;
                     });
    test.put_config(1);
    test.start();
    bool stopped = false;
    test.gateway->stop([&stopped] { stopped = true; });
    CHECK_FALSE(test.gateway->is_ready());
    const auto response = test.fetch(test.request("/once/x", "a1"));
    REQUIRE(response);
    CHECK(response->result_int() == 200);
    CHECK((*response)["Connection"] == "close");
    test.run_until([&stopped] { return stopped; });
}

// Guards against a planned stop that drops requests just sent: on connections that are
// not accepted yet, or were accepted a moment ago.
TEST_CASE("a planned stop under load responds to all requests already sent")
{
    gateway_fixture test;
    test.settings.grace_period = state::milliseconds(8000);
    test.add_backend("s1", "plain", ok);
    test.put_config(1);
    test.start();
    bool stopped = false;
    test.gateway->stop([&stopped] { stopped = true; });
    // Callers keep connecting, as they do until they query the addresses again.
    namespace asio = boost::asio;
    using asio::ip::tcp;
    const auto address = transport::parse_address(test.gateway->own_settings().listen);
    std::vector<std::unique_ptr<tcp::socket>> clients;
    int number = 0;
    while (!stopped)
    {
        // The event loop does not run meanwhile, so these connections wait in the listen
        // backlog.
        for (int burst = 0; burst < 5; ++burst)
        {
            auto client = std::make_unique<tcp::socket>(test.loop);
            boost::system::error_code refused;
            client->connect(address, refused);
            if (refused)
                break;
            const auto attempt = "a" + std::to_string(++number);
            const std::string text = "POST /once/x HTTP/1.1\r\nHost: shop.example\r\n"
                                     "X-Pomelorouter-Attempt-Id: " +
                                     attempt + "\r\nContent-Length: 0\r\n\r\n";
            asio::write(*client, asio::buffer(text), refused);
            clients.push_back(std::move(client));
        }
        const auto end = std::chrono::steady_clock::now() + state::milliseconds(15);
        while (!stopped && std::chrono::steady_clock::now() < end)
        {
            test.loop.restart();
            test.loop.run_one_for(state::milliseconds(1));
        }
    }
    REQUIRE(number > 100);
    int answered = 0;
    for (const auto& client : clients)
    {
        std::array<char, 4096> bytes{};
        boost::system::error_code failure;
        client->non_blocking(true, failure);
        const std::size_t size = client->read_some(asio::buffer(bytes), failure);
        answered += std::string_view(bytes.data(), size).rfind("HTTP/1.1 ", 0) == 0;
    }
    CHECK(answered == number);
}

// Guards against a planned stop that drops a request waiting for a model without a
// response.
TEST_CASE("a planned stop refuses a request that waits for a model")
{
    gateway_fixture test;
    test.settings.grace_period = state::milliseconds(4000);
    test.add_backend("e1", "models", ok, {"other"});
    test.put_config(1, 30000, 1, 25000);
    test.start();
    bool stopped = false;
    test.gateway->stop([&stopped] { stopped = true; });
    transport::http_request request = test.request("/stream/x", "a1", "m1");
    request.set("X-Pomelorouter-Deadline-Ms", "30000");
    const auto response = test.fetch(request);
    CHECK_FALSE(stopped);
    REQUIRE(response);
    CHECK(response->result_int() == 503);
    CHECK((*response)["Retry-After"] != "");
    test.run_until([&stopped] { return stopped; });
}

// Guards against a planned stop that closes the connections of unfinished requests
// without an answer.
TEST_CASE("a planned stop answers a request that no backend server answers")
{
    gateway_fixture test;
    test.settings.grace_period = state::milliseconds(4000);
    test.add_backend("s1", "plain",
                     [](const transport::http_request&) {
                         return raw_reply{{}, reply_end::silent};
                     });
    test.put_config(1, 30000);
    test.start();
    bool stopped = false;
    test.gateway->stop([&stopped] { stopped = true; });
    transport::http_request request = test.request("/once/x", "a1");
    request.set("X-Pomelorouter-Deadline-Ms", "30000");
    const auto response = test.fetch(request);
    CHECK_FALSE(stopped);
    REQUIRE(response);
    // It may have run.
    CHECK(response->result_int() == 502);
    test.run_until([&stopped] { return stopped; });
}

// Guards against requests that are sent to a backend server although the gateway exits
// before they can be complete.
TEST_CASE("a planned stop refuses a request that comes too late in the grace period")
{
    gateway_fixture test;
    test.settings.grace_period = state::milliseconds(3000);
    auto& backend = test.add_backend("s1", "plain", ok);
    test.put_config(1);
    test.start();
    bool stopped = false;
    test.gateway->stop([&stopped] { stopped = true; });
    const auto early = test.fetch(test.request("/once/x", "a1"));
    REQUIRE(early);
    CHECK(early->result_int() == 200);
    test.run_for(state::milliseconds(2200));
    const auto late = test.fetch(test.request("/once/x", "a2"));
    REQUIRE(late);
    CHECK(late->result_int() == 503);
    CHECK((*late)["Retry-After"] != "");
    CHECK(backend.requests.size() == 1);
    test.run_until([&stopped] { return stopped; });
}
