#include "transport/peer_network.hpp"

#include "protocol/peer_codec.hpp"
#include "state/error.hpp"
#include "transport/address.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using boost::asio::ip::tcp;
using transport::peer_delivery;
using transport::peer_network;

// Reached only if a test fails.
constexpr std::chrono::seconds test_timeout{20};

/// Peer network that stores the received messages, on an event loop that the test runs.
struct endpoint
{
    explicit endpoint(boost::asio::io_context& event_loop)
        : loop(event_loop),
          network(
              loop,
              [this](peer_delivery message) { received.push_back(std::move(message)); },
              counters)
    {
        this->address = this->network.listen("127.0.0.1:0");
    }

    template <typename Condition>
    bool run_until(const Condition& condition)
    {
        const auto end = std::chrono::steady_clock::now() + test_timeout;
        while (!condition() && std::chrono::steady_clock::now() < end)
            this->loop.run_one_for(std::chrono::milliseconds(50));
        return condition();
    }

    boost::asio::io_context& loop;
    state::counter_registry counters;
    std::vector<peer_delivery> received;
    peer_network network;
    std::string address;
};

protocol::peer_envelope make_pull(std::uint64_t offset)
{
    return {"node-1", protocol::settings_pull{offset}};
}

} // namespace

// Guards against messages that are lost, reordered or answered on the wrong connection.
TEST_CASE("messages arrive in order and their answers use the same connection")
{
    boost::asio::io_context loop;
    endpoint first(loop);
    endpoint second(loop);
    for (std::uint64_t i = 0; i < 10; ++i)
        first.network.send(second.address, make_pull(i));
    REQUIRE(first.run_until([&] { return second.received.size() == 10; }));
    for (std::uint64_t i = 0; i < 10; ++i)
    {
        CHECK(second.received[i].envelope == make_pull(i));
        CHECK(second.received[i].needs_answer);
        CHECK(second.received[i].connection == second.received[0].connection);
    }
    second.network.answer(second.received[0].connection, make_pull(77));
    REQUIRE(first.run_until([&] { return first.received.size() == 1; }));
    CHECK(first.received[0].envelope == make_pull(77));
    CHECK_FALSE(first.received[0].needs_answer);
}

// Guards against invalid data of one peer that ends the process or blocks other peers.
TEST_CASE("an invalid frame closes only the connection that it arrived on")
{
    boost::asio::io_context loop;
    endpoint server(loop);
    const std::vector<std::string> broken{
        std::string("\0\0\0\0\1", 5), std::string("\x7f\0\0\0\1", 5),
        std::string("\0\0\0\2\7x", 6), std::string("\0\0\0\3\1xy", 7),
        "GET / HTTP/1.1\r\n"};
    for (const std::string& bytes : broken)
    {
        tcp::socket client(loop);
        client.connect(transport::parse_address(server.address));
        boost::asio::write(client, boost::asio::buffer(bytes));
        bool is_closed = false;
        std::array<char, 1> byte{};
        client.async_read_some(boost::asio::buffer(byte),
                               [&](boost::system::error_code failure, std::size_t)
                               { is_closed = static_cast<bool>(failure); });
        CHECK(server.run_until([&] { return is_closed; }));
    }
    CHECK(server.counters.value("peer_broken_frames_total") ==
          static_cast<std::int64_t>(broken.size()));
    endpoint other(loop);
    other.network.send(server.address, make_pull(1));
    CHECK(server.run_until([&] { return server.received.size() == 1; }));
}

// Guards against the use of a connection that delivers no more answers although a new one
// would, and against send queues that grow without limit or senders that block.
TEST_CASE("a connection without answers is replaced and one with a full queue is closed")
{
    boost::asio::io_context loop;
    endpoint sender(loop);
    tcp::acceptor silent(loop, transport::parse_address("127.0.0.1:0"));
    std::vector<tcp::socket> accepted;
    std::function<void()> accept = [&]
    {
        silent.async_accept(
            [&](boost::system::error_code failure, tcp::socket socket)
            {
                if (failure)
                    return;
                accepted.push_back(std::move(socket));
                accept();
            });
    };
    accept();
    const std::string address = transport::format_address(silent.local_endpoint());
    sender.network.send(address, make_pull(1));
    REQUIRE(sender.run_until([&] { return accepted.size() == 1; }));
    // Sends heartbeats slowly enough that the queue does not fill up and close the
    // connection.
    auto next = std::chrono::steady_clock::now();
    CHECK(sender.run_until(
        [&]
        {
            if (std::chrono::steady_clock::now() >= next)
            {
                sender.network.send(address, make_pull(2));
                next += std::chrono::milliseconds(200);
            }
            return accepted.size() >= 2;
        }));
    CHECK(sender.counters.value("peer_silent_connections_total") == 1);
    CHECK(sender.counters.value("peer_queue_overflows_total") == 0);
    const protocol::peer_envelope large{
        "node-1", protocol::settings_state{std::string(1000000, 'x')}};
    for (int i = 0; i < 200; ++i)
        sender.network.send(address, large);
    CHECK(sender.run_until(
        [&] { return sender.counters.value("peer_queue_overflows_total") > 0; }));
    silent.close();
    loop.poll();
}
