#include "transport/address.hpp"
#include "transport/datagram_socket.hpp"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <stdexcept>

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
