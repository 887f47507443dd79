#include "transport/address.hpp"
#include "transport/async_event.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
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

std::string head(const std::string& path, std::size_t length)
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(length) +
           "\r\n\r\n";
}

class memory_fixture
{
public:
    explicit memory_fixture(std::size_t budget_bytes = process_bytes)
        : memory(std::make_shared<transport::memory_budget>(budget_bytes)),
          server(this->loop, {}, this->handler, this->counters)
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
