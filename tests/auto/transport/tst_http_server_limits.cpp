#include "transport/address.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using boost::asio::ip::tcp;

constexpr std::size_t max_connections = 4;
constexpr std::size_t max_header_bytes = 1024;
constexpr std::size_t max_header_fields = 32;
constexpr std::size_t max_body_bytes = 512;

class ok_handler : public transport::http_handler
{
public:
    boost::asio::awaitable<void> handle(transport::http_exchange& exchange) override
    {
        co_await exchange.respond(
            transport::text_response(transport::status::ok, "done"));
    }
};

/// Connection that collects the received bytes until the server closes it.
class raw_client
{
public:
    raw_client(boost::asio::io_context& loop, const std::string& address) : socket(loop)
    {
        this->socket.connect(transport::parse_address(address));
        this->read();
    }

    void send(const std::string& text)
    {
        boost::asio::write(this->socket, boost::asio::buffer(text));
    }

    std::string received;
    bool is_closed = false;

private:
    void read()
    {
        this->socket.async_read_some(
            boost::asio::buffer(this->bytes),
            [this](boost::system::error_code failure, std::size_t size)
            {
                this->received.append(this->bytes.data(), size);
                this->is_closed = static_cast<bool>(failure);
                if (!failure)
                    this->read();
            });
    }

    tcp::socket socket;
    std::array<char, 1024> bytes{};
};

/// Runs the loop until the condition holds. The timeout is reached only if a test fails.
template <typename Condition>
bool run_until(boost::asio::io_context& loop, const Condition& condition)
{
    const auto end = state::now() + state::seconds(20);
    while (!condition() && state::now() < end)
    {
        loop.restart();
        loop.run_one_for(state::milliseconds(20));
    }
    return condition();
}

std::string request(std::size_t header_bytes, std::size_t body_bytes)
{
    return "POST / HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(header_bytes, 'x') +
           "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
           std::string(body_bytes, 'x');
}

std::string fields(std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i)
        result += "a:b\r\n";
    return result;
}

std::string with_fields(std::size_t count)
{
    return "GET / HTTP/1.1\r\n" + fields(count) + "\r\n";
}

class server_fixture
{
public:
    explicit server_fixture(bool idle_gives_way = false)
        : server_fixture(default_limits(idle_gives_way))
    {
    }
    explicit server_fixture(const transport::http_server_limits& limits)
        : server(this->loop, limits, this->handler, this->counters)
    {
        this->address = this->server.listen("127.0.0.1:0");
    }

    static transport::http_server_limits default_limits(bool idle_gives_way = false)
    {
        transport::http_server_limits result;
        result.max_header_fields = max_header_fields;
        result.idle_connections_give_way = idle_gives_way;
        result.max_connections = max_connections;
        result.max_header_bytes = max_header_bytes;
        result.max_body_bytes = max_body_bytes;
        return result;
    }

    /// Sends a request on a connection that is open already and waits for the response.
    std::string exchange(raw_client& client, const std::string& bytes)
    {
        client.received.clear();
        client.send(bytes);
        run_until(this->loop,
                  [&client] { return client.is_closed || !client.received.empty(); });
        return client.received;
    }

private:
    // The connections, which the loop owns, use these until they are destroyed.
    state::counter_registry counters;
    ok_handler handler;

public:
    boost::asio::io_context loop{1};
    std::string address;
    transport::http_server server;
};

} // namespace

// Guards against requests that fill the memory of the server.
TEST_CASE("a request over a limit of the server is refused and its connection closed")
{
    struct row
    {
        std::string name;
        std::string bytes;
        std::string expected_status;
    };
    const std::string chunked_head =
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<row> rows{
        {"within the limits", request(16, max_body_bytes), " 200 "},
        {"header", request(2 * max_header_bytes, 0), " 431 "},
        {"body", request(16, max_body_bytes + 1), " 413 "},
        {"header without end", "GET / HTTP/1.1\r\nX-Long: " + std::string(64 * 1024, 'x'),
         " 431 "},
        {"most fields", with_fields(max_header_fields), " 200 "},
        {"fields", with_fields(max_header_fields + 1), " 431 "},
        {"announced body that is not sent",
         "POST / HTTP/1.1\r\nContent-Length: 513\r\n\r\n", " 413 "},
        {"chunk extension without end",
         chunked_head + "5;" + std::string(256 * 1024, 'x'), " 400 "},
        {"trailer without end",
         chunked_head + "0\r\nX-Long: " + std::string(256 * 1024, 'x'), " 400 "},
        {"field in a trailer", chunked_head + "1\r\nx\r\n0\r\nAuthorization: a\r\n\r\n",
         " 400 "},
        {"chunked within the limits", chunked_head + "1\r\nx\r\n0\r\n\r\n", " 200 "},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        server_fixture test;
        raw_client client(test.loop, test.address);
        client.send(item.bytes);
        const bool is_refused = item.expected_status != " 200 ";
        CHECK(run_until(test.loop,
                        [&] { return client.is_closed || !client.received.empty(); }));
        CHECK(client.received.find(item.expected_status) != std::string::npos);
        if (is_refused)
            CHECK(run_until(test.loop, [&client] { return client.is_closed; }));
    }
}

// Guards against connections that fill the memory of the server: the sum of its limits
// for requests is finite only if their number is.
TEST_CASE("a connection over max_connections is closed and the others are served")
{
    server_fixture test;
    std::vector<std::unique_ptr<raw_client>> clients;
    for (std::size_t i = 0; i < max_connections; ++i)
    {
        clients.push_back(std::make_unique<raw_client>(test.loop, test.address));
        clients.back()->send(request(16, 1));
        CHECK(run_until(test.loop, [&] { return !clients.back()->received.empty(); }));
    }
    raw_client last(test.loop, test.address);
    CHECK(run_until(test.loop, [&last] { return last.is_closed; }));
    CHECK(last.received.empty());
    for (const auto& client : clients)
    {
        client->received.clear();
        client->send(request(16, 1));
        CHECK(run_until(test.loop, [&client] { return !client->received.empty(); }));
        CHECK(client->received.find(" 200 ") != std::string::npos);
    }
}

// Guards against idle connections that keep all others from being served.
TEST_CASE("the connection that is idle for longest gives way to a new one")
{
    server_fixture test(true);
    std::vector<std::unique_ptr<raw_client>> clients;
    for (std::size_t i = 0; i < max_connections + 1; ++i)
    {
        clients.push_back(std::make_unique<raw_client>(test.loop, test.address));
        clients.back()->send(request(16, 1));
        CHECK(run_until(test.loop, [&] { return !clients.back()->received.empty(); }));
    }
    CHECK(run_until(test.loop, [&] { return clients.front()->is_closed; }));
    for (std::size_t i = 1; i < clients.size(); ++i)
    {
        CHECK_FALSE(clients[i]->is_closed);
        clients[i]->received.clear();
        clients[i]->send(request(16, 1));
        CHECK(run_until(test.loop, [&] { return !clients[i]->received.empty(); }));
        CHECK(clients[i]->received.find(" 200 ") != std::string::npos);
    }
}

// Guards against a connection that keeps the limits of the time at which it became idle.
TEST_CASE("changed limits hold for the next request of an idle connection")
{
    using limits = transport::http_server_limits;
    struct row
    {
        std::string name;
        void (*change)(limits&);
        std::string bytes;
        std::string status_before;
        std::string status_after;
    };
    const std::vector<row> rows{
        {"raised body", [](limits& next) { next.max_body_bytes *= 2; },
         request(16, 2 * max_body_bytes), " 413 ", " 200 "},
        {"lowered body", [](limits& next) { next.max_body_bytes /= 2; },
         request(16, max_body_bytes), " 200 ", " 413 "},
        {"raised header", [](limits& next) { next.max_header_bytes *= 4; },
         request(2 * max_header_bytes, 0), " 431 ", " 200 "},
        {"lowered header", [](limits& next) { next.max_header_bytes /= 4; },
         request(max_header_bytes / 2, 0), " 200 ", " 431 "},
        {"raised fields", [](limits& next) { next.max_header_fields *= 2; },
         with_fields(2 * max_header_fields), " 431 ", " 200 "},
        {"lowered fields", [](limits& next) { next.max_header_fields /= 2; },
         with_fields(max_header_fields), " 200 ", " 431 "},
        {"lowered time of the header",
         [](limits& next) { next.header_timeout = state::milliseconds(50); },
         "GET / HTTP/1.1\r\n", "", " 408 "},
        {"lowered time of the body",
         [](limits& next) { next.io_timeout = state::milliseconds(50); },
         "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n", "", " 408 "},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        server_fixture test;
        raw_client control(test.loop, test.address);
        if (!item.status_before.empty())
        {
            CHECK(test.exchange(control, item.bytes).find(item.status_before) !=
                  std::string::npos);
        }
        // Accepted before the connection that is served next.
        raw_client unused(test.loop, test.address);
        raw_client used(test.loop, test.address);
        CHECK(test.exchange(used, request(16, 1)).find(" 200 ") != std::string::npos);
        limits next = server_fixture::default_limits();
        item.change(next);
        test.server.set_limits(next);
        for (raw_client* const client : {&used, &unused})
        {
            CHECK(test.exchange(*client, item.bytes).find(item.status_after) !=
                  std::string::npos);
        }
    }
}

// Guards against requests that are refused, or cut off, because of a change that came
// after they had begun.
TEST_CASE("a request in the middle keeps the limits with which it began")
{
    server_fixture test;
    raw_client client(test.loop, test.address);
    client.send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(max_body_bytes) +
                "\r\n" + fields(max_header_fields - 1));
    CHECK(run_until(test.loop, [&] { return test.server.requests_in_flight() == 1; }));
    transport::http_server_limits next = server_fixture::default_limits();
    next.max_header_bytes = 64;
    next.max_header_fields = 1;
    next.max_body_bytes = 1;
    next.idle_timeout = state::milliseconds(1);
    test.server.set_limits(next);
    const std::string response =
        test.exchange(client, "\r\n" + std::string(max_body_bytes, 'x'));
    CHECK(response.find(" 200 ") != std::string::npos);
}

// Guards against clients whose connection is closed by an idle timeout that no longer
// holds.
TEST_CASE("a raised idle timeout holds for connections that are idle")
{
    constexpr state::milliseconds short_timeout{300};
    transport::http_server_limits limits = server_fixture::default_limits();
    limits.idle_timeout = short_timeout;
    server_fixture test(limits);
    // Accepted before the connection that is served next.
    raw_client unused(test.loop, test.address);
    raw_client used(test.loop, test.address);
    CHECK(test.exchange(used, request(16, 1)).find(" 200 ") != std::string::npos);
    const state::time_point idle_since = state::now();
    limits.idle_timeout = state::milliseconds(60000);
    test.server.set_limits(limits);
    CHECK(run_until(test.loop,
                    [&] { return state::now() - idle_since > 2 * short_timeout; }));
    for (raw_client* const client : {&used, &unused})
    {
        REQUIRE_FALSE(client->is_closed);
        CHECK(test.exchange(*client, request(16, 1)).find(" 200 ") != std::string::npos);
    }
}

// Guards against idle connections that hold their room for the longer time of an earlier
// configuration.
TEST_CASE("a lowered idle timeout holds for connections that are idle")
{
    transport::http_server_limits limits = server_fixture::default_limits();
    limits.idle_timeout = state::milliseconds(60000);
    server_fixture test(limits);
    raw_client client(test.loop, test.address);
    CHECK(test.exchange(client, request(16, 1)).find(" 200 ") != std::string::npos);
    limits.idle_timeout = state::milliseconds(200);
    const state::time_point changed = state::now();
    test.server.set_limits(limits);
    CHECK(run_until(test.loop, [&client] { return client.is_closed; }));
    // A client that does not know of the change yet may still use the connection.
    CHECK(state::now() - changed >= limits.idle_timeout);
}
