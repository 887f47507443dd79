#include "transport/http_server.hpp"

#include "transport/address.hpp"

#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

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

} // namespace

// Guards against a planned stop that cuts a connection on which a request is arriving.
TEST_CASE("a request that arrives during a stop is counted and answered")
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
