#include "transport/address.hpp"
#include "transport/datagram_socket.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file

} // namespace

// Guards against a gateway that receives no more datagrams after an unexpected exception
// in the callback for one of them.
TEST_CASE("datagrams are still received after the callback threw for one")
{
    boost::asio::io_context loop;
    transport::datagram_socket receiver(loop.get_executor());
    transport::datagram_socket sender(loop.get_executor());
    int received = 0;
    const std::string address =
        receiver.listen("127.0.0.1:0",
                        [&received](std::string_view)
                        {
                            if (++received == 1)
                                throw std::length_error("not expected");
                        });
    sender.listen("127.0.0.1:0", [](std::string_view) {});
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (received < 2 && std::chrono::steady_clock::now() < end)
    {
        sender.send(address, "text");
        loop.restart();
        loop.run_one_for(std::chrono::milliseconds(20));
    }
    CHECK(received >= 2);
}

// Guards against heartbeats that are processed seconds late because other work of the
// event loop takes a turn before each of them.
TEST_CASE("waiting datagrams are received in few turns of a busy event loop")
{
    constexpr int sent = 60;
    boost::asio::io_context loop;
    transport::datagram_socket receiver(loop.get_executor());
    transport::datagram_socket sender(loop.get_executor());
    int received = 0;
    const std::string address =
        receiver.listen("127.0.0.1:0", [&received](std::string_view) { ++received; });
    sender.listen("127.0.0.1:0", [](std::string_view) {});
    for (int number = 0; number < sent; ++number)
        CHECK(sender.send(address, "text"));
    // Work that is ready again in each turn, such as planning under load.
    int turns = 0;
    std::function<void()> busy_work = [&]
    {
        if (received < sent && ++turns < 1000)
            boost::asio::post(loop, busy_work);
    };
    boost::asio::post(loop, busy_work);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (received < sent && std::chrono::steady_clock::now() < end)
    {
        loop.restart();
        loop.run_one_for(std::chrono::milliseconds(20));
    }
    CHECK(received == sent);
    CHECK(turns < sent / 4);
}
