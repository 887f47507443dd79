#include "transport/address.hpp"
#include "transport/async_event.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using boost::asio::ip::tcp;

constexpr std::size_t body_bytes = 100 * 1024;
/// One body has room among the large ones, two have not.
constexpr std::size_t process_bytes = 700 * 1024;

/// Answers when the test lets it, and refuses requests without the path /known.
class gated_handler : public transport::http_handler
{
public:
    explicit gated_handler(boost::asio::io_context& loop) : opened(loop.get_executor()) {}

    boost::asio::awaitable<void> handle(transport::http_exchange& exchange) override
    {
        ++this->calls;
        while (!this->is_open)
            co_await this->opened.wait(state::milliseconds(20));
        co_await exchange.respond(
            transport::text_response(transport::status::ok, "done"));
    }

    std::optional<state::error>
    refuse_head(const transport::http_request& head) const override
    {
        if (head.target() == "/known")
            return std::nullopt;
        return state::error(state::error_code::not_found, "path", "no route");
    }

    transport::async_event opened;
    bool is_open = true;
    int calls = 0;
};

/// Connection that collects the received bytes.
class raw_client
{
public:
    raw_client(boost::asio::io_context& loop, const std::string& address) : socket(loop)
    {
        this->socket.connect(transport::parse_address(address));
        this->read();
    }

    void send(std::string text)
    {
        this->sent.push_back(std::make_unique<std::string>(std::move(text)));
        boost::asio::async_write(this->socket, boost::asio::buffer(*this->sent.back()),
                                 [](boost::system::error_code, std::size_t) {});
    }
    bool has_received(const std::string& text) const
    {
        return this->received.find(text) != std::string::npos;
    }

    std::string received;

private:
    void read()
    {
        this->socket.async_read_some(
            boost::asio::buffer(this->bytes),
            [this](boost::system::error_code failure, std::size_t size)
            {
                this->received.append(this->bytes.data(), size);
                if (!failure)
                    this->read();
            });
    }

    tcp::socket socket;
    std::array<char, 1024> bytes{};
    std::vector<std::unique_ptr<std::string>> sent;
};

/// Connection whose bytes are sent and received outside of the event loop.
class blocking_client
{
public:
    explicit blocking_client(const std::string& address) : socket(this->own_loop)
    {
        this->socket.connect(transport::parse_address(address));
        this->socket.non_blocking(true);
    }

    void send(const std::string& text)
    {
        boost::asio::write(this->socket, boost::asio::buffer(text));
    }
    /// Sends what the kernel takes now, and returns its size.
    std::size_t send_some(std::string_view text)
    {
        boost::system::error_code failure;
        return this->socket.write_some(boost::asio::buffer(text), failure);
    }
    /// Bytes that the kernel has taken and the other side has not received.
    std::size_t unreceived()
    {
        int size = 0;
        ::ioctl(this->socket.native_handle(), SIOCOUTQ, &size);
        return static_cast<std::size_t>(size);
    }
    /// Returns how often `text` has been received.
    int count_received(const std::string& text)
    {
        std::array<char, 1024> bytes{};
        boost::system::error_code failure;
        while (!failure)
        {
            const std::size_t size =
                this->socket.read_some(boost::asio::buffer(bytes), failure);
            this->received.append(bytes.data(), size);
        }
        int count = 0;
        for (std::size_t at = this->received.find(text); at != std::string::npos;
             at = this->received.find(text, at + text.size()))
            ++count;
        return count;
    }

private:
    boost::asio::io_context own_loop;
    tcp::socket socket;
    std::string received;
};

std::string chunk(std::size_t size)
{
    std::array<char, 16> line{};
    std::snprintf(line.data(), line.size(), "%zx\r\n", size);
    return line.data() + std::string(size, 'a') + "\r\n";
}

std::string head(const std::string& path, std::size_t length)
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(length) +
           "\r\n\r\n";
}

class memory_fixture
{
public:
    explicit memory_fixture(std::size_t bytes = process_bytes,
                            const transport::http_server_limits& limits = {})
        : memory(std::make_shared<transport::memory_budget>(bytes)),
          server(this->loop, limits, this->handler, this->counters)
    {
        this->server.set_memory(this->memory, transport::memory_use::requests);
        this->address = this->server.listen("127.0.0.1:0");
    }

    /// Runs the loop until the condition holds. The timeout is reached only if a test
    /// fails.
    template <typename Condition>
    bool run_until(const Condition& condition)
    {
        const auto end = state::now() + state::seconds(20);
        while (!condition() && state::now() < end)
        {
            this->loop.restart();
            this->loop.run_one_for(state::milliseconds(20));
        }
        return condition();
    }

    // The connections, which the loop owns, use these until they are destroyed.
    state::counter_registry counters;
    std::shared_ptr<transport::memory_budget> memory;
    boost::asio::io_context loop{1};
    gated_handler handler{this->loop};
    transport::http_server server;
    std::string address;
};

} // namespace

// Guards against unfinished bodies that keep others from being served.
TEST_CASE("a body that stands still gives way to another one")
{
    memory_fixture test;
    raw_client stalled(test.loop, test.address);
    stalled.send(head("/known", body_bytes) + std::string(body_bytes - 1, 'a'));
    CHECK(test.run_until(
        [&] { return test.memory->held(transport::memory_use::large_bodies) > 0; }));
    raw_client other(test.loop, test.address);
    other.send(head("/known", body_bytes) + std::string(body_bytes, 'a'));
    CHECK(test.run_until([&] { return other.has_received("done"); }));
    CHECK(other.has_received(" 200 "));
    CHECK(test.run_until([&] { return stalled.has_received(" 503 "); }));
    CHECK(test.handler.calls == 1);
}

// Guards against requests that are broken off, or refused without a time to come back,
// for lack of memory.
TEST_CASE("a request without memory is refused and the running one goes on")
{
    memory_fixture test;
    test.handler.is_open = false;
    raw_client running(test.loop, test.address);
    running.send(head("/known", body_bytes) + std::string(body_bytes, 'a'));
    CHECK(test.run_until([&] { return test.handler.calls == 1; }));
    raw_client refused(test.loop, test.address);
    refused.send(head("/known", body_bytes) + std::string(body_bytes, 'a'));
    CHECK(test.run_until([&] { return refused.has_received("\"run\":\"not_run\""); }));
    CHECK(refused.has_received(" 503 "));
    CHECK(refused.has_received("Retry-After: 1"));
    raw_client small(test.loop, test.address);
    small.send(head("/known", 2) + "ab");
    CHECK(test.run_until([&] { return test.handler.calls == 2; }));
    test.handler.is_open = true;
    CHECK(test.run_until(
        [&] { return running.has_received("done") && small.has_received("done"); }));
    // Guards against memory that is held for a request which has ended.
    CHECK(test.run_until(
        [&]
        {
            return test.memory->held(transport::memory_use::large_bodies) == 0 &&
                   test.memory->held(transport::memory_use::requests) == 0;
        }));
}

// Guards against bodies that are read though their request is refused, and against a
// response that is lost because its connection is reset.
TEST_CASE("a body without a route is refused from its head")
{
    memory_fixture test;
    raw_client client(test.loop, test.address);
    constexpr std::size_t large = 4 * 1024 * 1024;
    client.send(head("/unknown", large) + std::string(large, 'a'));
    CHECK(test.run_until([&] { return client.has_received("no route"); }));
    CHECK(client.has_received(" 404 "));
    CHECK(test.memory->held(transport::memory_use::large_bodies) == 0);
    CHECK(test.handler.calls == 0);
    raw_client small(test.loop, test.address);
    small.send(head("/unknown", 2) + "ab");
    CHECK(test.run_until([&] { return small.has_received("done"); }));
}

// Guards against a connection that is closed as idle although its next request has been
// read: the client does not know whether that request was run.
TEST_CASE("a connection whose request has been read does not give way as idle")
{
    transport::http_server_limits limits;
    limits.max_connections = 1;
    limits.idle_connections_give_way = true;
    constexpr std::size_t enough_bytes = 32 * 1024 * 1024;
    constexpr int rounds = 3;
    for (int round = 0; round < rounds; ++round)
    {
        CAPTURE(round);
        memory_fixture test(enough_bytes, limits);
        blocking_client client(test.address);
        client.send(head("/known", 2) + "ab");
        // The loop stops right after the first response was written, before the session
        // waits for the next request.
        REQUIRE(test.run_until([&] { return test.handler.calls == 1; }));
        const blocking_client refused(test.address);
        client.send(head("/known", 2) + "ab");
        CHECK(test.run_until([&] { return test.handler.calls == 2; }));
        CHECK(test.run_until([&] { return client.count_received("done") == 2; }));
        // Guards against a connection that keeps others out while it is idle.
        blocking_client other(test.address);
        other.send(head("/known", 2) + "ab");
        CHECK(test.run_until([&] { return other.count_received("done") == 1; }));
    }
}

// Guards against chunked bodies of which each holds a part of the memory and waits for
// the rest, until nearly all are refused.
TEST_CASE("chunked bodies that wait for one another do not block all")
{
    // Large bodies get 2,880 KiB: nine first reservations of 320 KiB. A whole body needs
    // 832 KiB.
    constexpr std::size_t bytes = 8 * 1024 * 1024;
    constexpr std::size_t first_part = 150 * 1024;
    constexpr std::size_t second_part = 550 * 1024;
    constexpr std::size_t held_in_parts = 5 * 320 * 1024;
    transport::http_server_limits limits;
    limits.max_body_bytes = 704 * 1024;
    for (const std::size_t senders : {9, 12})
    {
        CAPTURE(senders);
        memory_fixture test(bytes, limits);
        std::vector<std::unique_ptr<raw_client>> clients;
        for (std::size_t i = 0; i < senders; ++i)
        {
            clients.push_back(std::make_unique<raw_client>(test.loop, test.address));
            clients.back()->send("POST /known HTTP/1.1\r\nHost: x\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n" +
                                 chunk(first_part));
        }
        REQUIRE(test.run_until(
            [&] {
                return test.memory->held(transport::memory_use::large_bodies) >=
                       held_in_parts;
            }));
        for (const auto& client : clients)
            client->send(chunk(second_part) + "0\r\n\r\n");
        const auto count = [&](const std::string& text)
        {
            return static_cast<std::size_t>(std::count_if(
                clients.begin(), clients.end(),
                [&text](const auto& client) { return client->has_received(text); }));
        };
        CHECK(test.run_until(
            [&] { return count("done") + count("\"not_run\"") == senders; }));
        CHECK(count("done") >= senders / 2);
        CHECK(static_cast<std::size_t>(test.handler.calls) == count("done"));
    }
}

// Guards against senders that lose their connection although the memory of another one
// was enough.
TEST_CASE("only as many senders give way as another request needs")
{
    // Large bodies get 2,876 KiB: two of 1 MiB, which take 1,088 KiB each, and 700 KiB.
    // One of 1.5 MiB takes 1,600 KiB.
    constexpr std::size_t bytes = 2876 * 1024 / 5 * 8 / 9 * 16;
    constexpr std::size_t stalled_bytes = 1024 * 1024;
    constexpr std::size_t new_bytes = 1536 * 1024;
    constexpr std::size_t held_by_stalled = 2 * 1088 * 1024;
    memory_fixture test(bytes);
    std::vector<std::unique_ptr<raw_client>> stalled;
    for (int i = 0; i < 2; ++i)
    {
        stalled.push_back(std::make_unique<raw_client>(test.loop, test.address));
        stalled.back()->send(head("/known", stalled_bytes) +
                             std::string(stalled_bytes / 100, 'a'));
    }
    REQUIRE(test.run_until(
        [&] {
            return test.memory->held(transport::memory_use::large_bodies) ==
                   held_by_stalled;
        }));
    raw_client other(test.loop, test.address);
    other.send(head("/known", new_bytes) + std::string(new_bytes, 'a'));
    CHECK(test.run_until([&] { return other.has_received("done"); }));
    CHECK(test.counters.count("memory_closed_connections_total", "").get() == 1);
}

// Guards against a machine whose memory is filled by what clients send ahead: bytes that
// the kernel has received and the process has not read count as its memory.
TEST_CASE("what the kernel holds of requests that are sent ahead is bounded")
{
    constexpr std::size_t bytes = 64 * 1024 * 1024;
    constexpr std::size_t large = 4 * 1024 * 1024;
    constexpr std::size_t sent_ahead = 16 * 1024 * 1024;
    // What a request reserves, which includes the bytes that the kernel holds.
    constexpr std::size_t most_unread = 80 * 1024;
    constexpr int rest_rounds = 100;
    memory_fixture test(bytes);
    blocking_client client(test.address);
    const auto send_all = [&](const std::string& text)
    {
        std::size_t sent = 0;
        return test.run_until(
            [&]
            {
                sent += client.send_some(std::string_view(text).substr(sent));
                return sent == text.size();
            });
    };
    // The kernel enlarges the receive buffer of a connection whose bytes are read fast.
    constexpr int bodies = 8;
    for (int i = 1; i <= bodies; ++i)
    {
        REQUIRE(send_all(head("/known", large) + std::string(large, 'a')));
        REQUIRE(test.run_until([&] { return client.count_received("done") == i; }));
    }
    test.handler.is_open = false;
    REQUIRE(send_all(head("/known", 0)));
    REQUIRE(test.run_until([&] { return test.handler.calls == bodies + 1; }));
    const std::string ahead(sent_ahead, 'a');
    std::size_t sent = 0;
    std::size_t received = 0;
    int rounds_at_rest = 0;
    CHECK(test.run_until(
        [&]
        {
            sent += client.send_some(std::string_view(ahead).substr(sent));
            const std::size_t before = received;
            received = sent - client.unreceived();
            rounds_at_rest = received == before ? rounds_at_rest + 1 : 0;
            return rounds_at_rest > rest_rounds;
        }));
    CHECK(received <= most_unread);
}

// Guards against a body that takes more memory than is reserved for it: with the lowered
// limit, the next reservation was smaller than the one before.
TEST_CASE("a chunked body that began before a lowered limit has its memory reserved")
{
    constexpr std::size_t half_bytes = 150 * 1024;
    memory_fixture test(16 * process_bytes);
    raw_client client(test.loop, test.address);
    std::ostringstream chunk;
    chunk << std::hex << half_bytes << "\r\n" << std::string(half_bytes, 'a') << "\r\n";
    test.handler.is_open = false;
    client.send("POST /known HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                chunk.str());
    CHECK(test.run_until(
        [&] { return test.memory->held(transport::memory_use::large_bodies) > 0; }));
    transport::http_server_limits limits;
    limits.max_body_bytes = half_bytes;
    test.server.set_limits(limits);
    client.send(chunk.str() + "0\r\n\r\n");
    CHECK(test.run_until([&] { return test.handler.calls == 1; }));
    CHECK(test.memory->held(transport::memory_use::large_bodies) >= 2 * half_bytes);
    test.handler.is_open = true;
    test.handler.opened.notify();
    CHECK(test.run_until([&] { return client.has_received(" 200 "); }));
}
