#include "transport/http_server.hpp"

#include "transport/address.hpp"

#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <stdexcept>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using boost::asio::ip::tcp;

class ok_handler : public transport::http_handler
{
public:
    boost::asio::awaitable<void> handle(transport::http_exchange& exchange) override
    {
        co_await exchange.respond(
            transport::text_response(transport::status::ok, "done"));
    }
};

/// Throws an exception that is no state::error for one path.
class throwing_handler : public transport::http_handler
{
public:
    boost::asio::awaitable<void> handle(transport::http_exchange& exchange) override
    {
        if (exchange.request().target() == "/broken")
            throw std::out_of_range("not expected");
        co_await exchange.respond(
            transport::text_response(transport::status::ok, "done"));
    }
};

/// Runs the loop until the condition holds. The timeout is reached only if a test fails.
template <typename Condition>
bool run_until(boost::asio::io_context& loop, const Condition& condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition() && std::chrono::steady_clock::now() < end)
    {
        loop.restart();
        loop.run_one_for(std::chrono::milliseconds(20));
    }
    return condition();
}

/// Collects the received bytes until the server closes the connection.
struct response_reader
{
    explicit response_reader(tcp::socket& client) : socket(client) { this->read(); }

    void read()
    {
        this->socket.async_read_some(
            boost::asio::buffer(this->bytes),
            [this](boost::system::error_code failure, std::size_t size)
            {
                this->text.append(this->bytes.data(), size);
                this->is_closed = static_cast<bool>(failure);
                if (!failure)
                    this->read();
            });
    }

    tcp::socket& socket;
    std::array<char, 1024> bytes{};
    std::string text;
    bool is_closed = false;
};

} // namespace

// Guards against a planned stop that resets connections which the kernel has established
// and the process has not accepted yet.
TEST_CASE("connections in the listener's queue are served if the server stops accepting")
{
    boost::asio::io_context loop;
    state::counter_registry counters;
    ok_handler handler;
    transport::http_server server(loop, {}, handler, counters);
    const auto address = transport::parse_address(server.listen("127.0.0.1:0"));
    loop.poll();
    std::vector<std::unique_ptr<tcp::socket>> clients;
    for (int number = 0; number < 20; ++number)
    {
        clients.push_back(std::make_unique<tcp::socket>(loop));
        clients.back()->connect(address);
        boost::asio::write(*clients.back(), boost::asio::buffer(std::string(
                                                "GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    }
    server.stop_accepting();
    // Connections from the queue count, although no byte of them was read.
    CHECK(server.requests_in_flight() > 0);
    for (const auto& client : clients)
    {
        response_reader answer(*client);
        CHECK(run_until(loop, [&] { return answer.is_closed; }));
        CHECK(answer.text.find("200 OK") != std::string::npos);
    }
    CHECK(run_until(loop, [&] { return server.requests_in_flight() == 0; }));
}

// Guards against an exception in one request that closes its connection without a
// response or ends the process.
TEST_CASE(
    "an unexpected exception in a handler yields status 500 and the next request works")
{
    boost::asio::io_context loop;
    state::counter_registry counters;
    throwing_handler handler;
    transport::http_server server(loop, {}, handler, counters);
    const auto address = transport::parse_address(server.listen("127.0.0.1:0"));
    for (const auto& [path, status] :
         {std::pair("/broken", "500"), std::pair("/", "200 OK")})
    {
        tcp::socket client(loop);
        client.connect(address);
        boost::asio::write(client, boost::asio::buffer("GET " + std::string(path) +
                                                       " HTTP/1.1\r\nHost: x\r\n"
                                                       "Connection: close\r\n\r\n"));
        response_reader answer(client);
        CHECK(run_until(loop, [&] { return answer.is_closed; }));
        CHECK(answer.text.find(status) != std::string::npos);
    }
}

// Guards against a planned stop that closes a connection while a request is arriving on
// it.
TEST_CASE("a request that arrives while the server stops is counted and answered")
{
    boost::asio::io_context loop;
    state::counter_registry counters;
    ok_handler handler;
    transport::http_server server(loop, {}, handler, counters);
    const auto address = transport::parse_address(server.listen("127.0.0.1:0"));
    const auto run_until = [&](const auto& condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < end)
            loop.run_one_for(std::chrono::milliseconds(50));
        return condition();
    };
    tcp::socket idle(loop);
    tcp::socket arriving(loop);
    idle.connect(address);
    arriving.connect(address);
    boost::asio::write(arriving, boost::asio::buffer(std::string("GET / HTT")));
    REQUIRE(run_until([&] { return server.requests_in_flight() == 1; }));
    server.announce_close();
    server.stop_accepting();
    loop.poll();
    tcp::socket late(loop);
    boost::system::error_code refused;
    late.connect(address, refused);
    CHECK(refused);
    boost::asio::write(arriving,
                       boost::asio::buffer(std::string("P/1.1\r\nHost: x\r\n\r\n")));
    boost::asio::write(
        idle, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    for (tcp::socket* client : {&arriving, &idle})
    {
        std::string response;
        std::array<char, 1024> bytes{};
        bool is_closed = false;
        std::function<void()> read = [&]
        {
            client->async_read_some(
                boost::asio::buffer(bytes),
                [&](boost::system::error_code failure, std::size_t size)
                {
                    response.append(bytes.data(), size);
                    is_closed = static_cast<bool>(failure);
                    if (!failure)
                        read();
                });
        };
        read();
        CHECK(run_until([&] { return is_closed; }));
        CHECK(response.find("200 OK") != std::string::npos);
        CHECK(response.find("Connection: close") != std::string::npos);
    }
    CHECK(server.requests_in_flight() == 0);
}
