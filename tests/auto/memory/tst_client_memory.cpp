#include "../platform/gateway_fixture.hpp"
#include "client_crowd.hpp"
#include "gateway_child.hpp"

#include <boost/json/array.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>

// Crowds of clients that do not behave, at a gateway process of its own. Each test guards
// against the end of the process or its growth beyond the memory or the descriptors of
// its machine, and against a crowd that keeps ordinary callers from being served.

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using test::client_crowd;
using test::crowd_client;

/// Default of `memory_limit_mb`, which is the memory of the smallest machines.
constexpr std::size_t memory_limit_bytes = 120 * 1024 * 1024;
/// The address sanitizer's shadow memory, padding and list of freed blocks are resident
/// too, so the bound says nothing about the gateway there.
#ifdef POMELOROUTER_SANITIZE
constexpr bool is_memory_comparable = false;
#else
constexpr bool is_memory_comparable = true;
#endif
constexpr std::size_t body_bytes = 4 * 1024 * 1024;
constexpr std::size_t crowd_size = 60;
constexpr std::size_t max_descriptors = 1024;
/// Descriptors besides the connections of the crowd and the connections to backend
/// servers that their requests need.
constexpr std::size_t own_descriptors = 40;
/// A crowd is at rest when for this long it could send nothing, and the peak of the
/// memory has not grown.
constexpr state::milliseconds rest_time{1500};
constexpr std::size_t large_answer_bytes = 4 * 1024 * 1024;

class crowd_fixture
{
public:
    crowd_fixture()
    {
        this->base.max_body_bytes = body_bytes;
        this->base.max_header_bytes = 16 * 1024;
        this->base.header_timeout_ms = 60'000;
        this->base.idle_timeout_ms = 60'000;
        this->base.add_backend("plain-1", "plain",
                               [this](const transport::http_request& request)
                               { return this->reply(request); });
        this->base.put_config(1, 30'000);
    }

    void start(std::size_t descriptors = max_descriptors)
    {
        const boost::json::object settings{{"node_id", "gateway-1"},
                                           {"zone", "zone-a"},
                                           {"listen", this->frontend},
                                           {"readiness_listen", this->readiness},
                                           {"directory_listen", this->directory},
                                           {"control_listen", test::free_address()},
                                           {"peer_listen", test::free_address()},
                                           {"platform", this->base.settings.platform}};
        this->gateway.emplace(settings, descriptors);
        // The process has yet to bind its listeners and to read the configuration.
        this->base.run_until([this] { return this->ask("/again/start") == 200U; });
    }

    /// Lets a crowd send to `address` until it is at rest, then checks the process. The
    /// crowd stays meanwhile.
    void check_crowd(const std::string& address, const crowd_client& client,
                     std::size_t count = crowd_size,
                     std::size_t descriptors = 2 * crowd_size + own_descriptors)
    {
        client_crowd crowd(this->base.loop, address, client, count);
        std::size_t peak = 0;
        state::time_point peak_since = state::now();
        const auto is_at_rest = [&]
        {
            REQUIRE(this->gateway->is_running());
            // The gateway may still be reading what the kernel took from the clients.
            if (std::exchange(peak, this->gateway->peak_bytes()) < peak)
                peak_since = state::now();
            return crowd.rest_time() > rest_time && state::since(peak_since) > rest_time;
        };
        this->base.run_until(is_at_rest);
        this->check_process(descriptors);
    }

    void check_process(std::size_t descriptors)
    {
        CHECK(this->ask("/again/ordinary") == 200);
        REQUIRE(this->gateway->is_running());
        if (is_memory_comparable)
            CHECK(this->gateway->peak_bytes() <= memory_limit_bytes);
        CHECK(this->gateway->open_descriptors() <= descriptors);
        MESSAGE("peak of resident memory: " << this->gateway->peak_bytes() / 1024 / 1024
                                            << " MB, descriptors: "
                                            << this->gateway->open_descriptors());
    }

    /// Status of the response to an ordinary request, 0 if there is none.
    unsigned ask(const std::string& path)
    {
        transport::http_request request = this->base.request(path, "ordinary");
        request.set(transport::field::connection, "close");
        const auto response = this->base.fetch_from(this->frontend, request);
        return response ? response->result_int() : 0;
    }

    std::string head(const std::string& path, const std::string& fields) const
    {
        return "POST " + path +
               " HTTP/1.1\r\nHost: shop.example\r\nX-Pomelorouter-Attempt-Id: crowd\r\n" +
               fields + "\r\n";
    }

    std::string head_with_length(const std::string& path, std::size_t length) const
    {
        return this->head(path, "Content-Length: " + std::to_string(length) + "\r\n");
    }

    test::raw_reply reply(const transport::http_request& request)
    {
        // Bodies are large, and the backend server keeps its requests.
        this->base.backends.front()->requests.clear();
        const std::string attempt(request["X-Pomelorouter-Attempt-Id"]);
        const bool is_large = request.target() == "/again/large";
        const std::string body(is_large ? large_answer_bytes : 2, 'a');
        test::raw_reply result;
        result.pieces = {test::response_text("200 OK", attempt, body)};
        if (request.target() == "/once/slow")
            result.pause = state::milliseconds(5000);
        return result;
    }

    test::gateway_fixture base;
    std::string frontend = test::free_address();
    std::string readiness = test::free_address();
    std::string directory = test::free_address();
    std::optional<test::gateway_child> gateway;
};

} // namespace

TEST_CASE("bodies without their last byte")
{
    crowd_fixture fixture;
    fixture.start();
    crowd_client client;
    client.head = fixture.head_with_length("/once/a", body_bytes);
    client.piece = std::string(body_bytes - 1, 'a');
    client.repeats = 1;
    fixture.check_crowd(fixture.frontend, client);
}

TEST_CASE("bodies without their last byte in small pieces")
{
    crowd_fixture fixture;
    fixture.start();
    crowd_client client;
    client.head = fixture.head_with_length("/once/a", body_bytes);
    client.piece = std::string(1024, 'a');
    client.repeats = body_bytes / client.piece.size() - 1;
    fixture.check_crowd(fixture.frontend, client);
}

TEST_CASE("chunked bodies without their end")
{
    crowd_fixture fixture;
    fixture.start();
    crowd_client client;
    client.head = fixture.head("/once/a", "Transfer-Encoding: chunked\r\n");
    client.piece = "4000\r\n" + std::string(0x4000, 'a') + "\r\n";
    client.repeats = body_bytes / 0x4000;
    fixture.check_crowd(fixture.frontend, client);
}

TEST_CASE("bodies in small chunks without their end")
{
    crowd_fixture fixture;
    fixture.start();
    crowd_client client;
    client.head = fixture.head("/once/a", "Transfer-Encoding: chunked\r\n");
    for (int i = 0; i < 64; ++i)
        client.piece += "40\r\n" + std::string(0x40, 'a') + "\r\n";
    client.repeats = body_bytes / 0x1000;
    fixture.check_crowd(fixture.frontend, client);
}

TEST_CASE("half bodies")
{
    crowd_fixture fixture;
    fixture.start();
    crowd_client client;
    client.head = fixture.head_with_length("/once/a", body_bytes);
    client.piece = std::string(body_bytes / 2, 'a');
    client.repeats = 1;
    fixture.check_crowd(fixture.frontend, client);
}

TEST_CASE("whole bodies for a slow backend server")
{
    crowd_fixture fixture;
    fixture.start();
    crowd_client client;
    client.head = fixture.head_with_length("/once/slow", body_bytes);
    client.piece = std::string(body_bytes, 'a');
    client.repeats = 1;
    fixture.check_crowd(fixture.frontend, client);
}

TEST_CASE("announced bodies far over the limit")
{
    crowd_fixture fixture;
    fixture.start();
    crowd_client client;
    client.head = fixture.head_with_length("/once/a", 64 * body_bytes);
    client.piece = std::string(body_bytes, 'a');
    client.repeats = 4;
    fixture.check_crowd(fixture.frontend, client);
}

TEST_CASE("chunked bodies far over the limit")
{
    crowd_fixture fixture;
    fixture.start();
    crowd_client client;
    client.head = fixture.head("/once/a", "Transfer-Encoding: chunked\r\n");
    client.piece = "10000\r\n" + std::string(0x10000, 'a') + "\r\n";
    client.repeats = 4 * body_bytes / 0x10000;
    fixture.check_crowd(fixture.frontend, client);
}

TEST_CASE("very many short fields")
{
    crowd_fixture fixture;
    fixture.start();
    std::string fields;
    for (int i = 0; i < 2000; ++i)
        fields += "a:b\r\n";
    crowd_client client;
    client.head = fixture.head("/once/slow", fields + "Content-Length: 0\r\n");
    fixture.check_crowd(fixture.frontend, client);
}

TEST_CASE("requests sent ahead")
{
    crowd_fixture fixture;
    fixture.start();
    crowd_client client;
    client.head = fixture.head_with_length("/again/a", 2) + "ab";
    client.piece = client.head;
    client.repeats = 500;
    fixture.check_crowd(fixture.frontend, client);
}

TEST_CASE("large answers that are not read")
{
    crowd_fixture fixture;
    fixture.start();
    crowd_client client;
    client.head = fixture.head_with_length("/again/large", 0);
    fixture.check_crowd(fixture.frontend, client);
}

TEST_CASE("slow senders")
{
    crowd_fixture fixture;
    fixture.start();
    crowd_client client;
    client.head = fixture.head_with_length("/once/a", body_bytes);
    client.piece = std::string(32 * 1024, 'a');
    client.repeats = 100;
    client.pause = state::milliseconds(50);
    fixture.check_crowd(fixture.frontend, client);
}

TEST_CASE("bodies on a path without a route")
{
    crowd_fixture fixture;
    fixture.start();
    crowd_client client;
    client.head = fixture.head_with_length("/unknown/a", body_bytes);
    client.piece = std::string(body_bytes - 1, 'a');
    client.repeats = 1;
    fixture.check_crowd(fixture.frontend, client);
}

TEST_CASE("bodies on the readiness listener")
{
    crowd_fixture fixture;
    fixture.start();
    crowd_client client;
    client.head = fixture.head_with_length("/pomelorouter/readyz", body_bytes);
    client.piece = std::string(body_bytes - 1, 'a');
    client.repeats = 1;
    fixture.check_crowd(fixture.readiness, client);
}

TEST_CASE("bodies on the directory listener")
{
    crowd_fixture fixture;
    fixture.start();
    crowd_client client;
    client.head = fixture.head_with_length("/pomelorouter/resolve", 4096);
    client.piece = std::string(4095, 'a');
    client.repeats = 1;
    fixture.check_crowd(fixture.directory, client);
}

TEST_CASE("more idle connections than descriptors")
{
    constexpr std::size_t descriptors = 100;
    crowd_fixture fixture;
    fixture.start(descriptors);
    fixture.check_crowd(fixture.frontend, {}, 2 * descriptors, descriptors);
}
