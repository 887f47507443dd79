#include "scripted_server.hpp"
#include "state/error.hpp"
#include "transport/connection_close.hpp"
#include "transport/http_client.hpp"
#include "transport/pause.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/error.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using boost::asio::awaitable;
using boost::asio::ip::tcp;
using state::milliseconds;
using test::scripted_server;
using transport::call_progress;
using transport::choose_close;
using transport::close_kind;

/// Larger than the buffers of both kernels.
constexpr std::size_t long_body_bytes = 4 * 1024 * 1024;
const std::string whole_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string closing_response =
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";

/// A client and a server that records how its connection ends.
struct closing_test
{
    explicit closing_test(std::string response = "")
        : server(this->loop,
                 [this, response](tcp::socket& socket) -> awaitable<void>
                 {
                     co_await test::read_request_head(socket);
                     this->has_request = true;
                     if (!response.empty())
                         co_await test::write_text(socket, response);
                     while (!this->may_read)
                         co_await transport::pause(this->loop.get_executor(),
                                                   milliseconds(1));
                     this->end = co_await test::read_to_end(socket);
                 })
    {
    }

    template <typename Condition>
    void run_until(const Condition& condition)
    {
        const auto limit = state::now() + state::seconds(20);
        while (!condition() && state::now() < limit)
        {
            this->loop.restart();
            this->loop.run_one_for(milliseconds(5));
        }
        REQUIRE(condition());
    }

    /// Sends a request and waits for the whole response. Errors are ignored.
    void begin_fetch(std::size_t body_bytes = 10)
    {
        const auto fetch = [this, body_bytes]() -> awaitable<void>
        {
            transport::http_call_options options;
            options.progress_timeout = this->progress_timeout;
            options.total_timeout = this->total_timeout;
            try
            {
                co_await this->client->fetch(
                    this->server.address,
                    transport::make_request(transport::verb::post, "/x",
                                            std::string(body_bytes, 'x')),
                    options);
            }
            catch (const state::error&)
            {
                this->has_failed = true;
            }
            this->is_done = true;
        };
        boost::asio::co_spawn(this->loop, fetch, boost::asio::detached);
    }

    /// Sends a request without waiting for the response.
    void begin_call()
    {
        const auto send = [this]() -> awaitable<void>
        {
            this->call = co_await this->client->connect(this->server.address, {});
            try
            {
                co_await this->call->send(std::make_shared<transport::http_request>(
                    transport::make_request(transport::verb::post, "/x", "body")));
            }
            catch (const state::error&)
            {
                this->has_failed = true;
            }
            this->is_done = true;
        };
        boost::asio::co_spawn(this->loop, send, boost::asio::detached);
    }

    void check_end(close_kind expected)
    {
        this->run_until([this] { return this->end.has_value(); });
        boost::system::error_code wanted = boost::asio::error::eof;
        if (expected == close_kind::reset)
            wanted = boost::asio::error::connection_reset;
        CHECK(*this->end == wanted);
    }

    milliseconds progress_timeout{10000};
    milliseconds total_timeout{10000};
    boost::asio::io_context loop{1};
    std::unique_ptr<transport::http_client> client =
        std::make_unique<transport::http_client>(this->loop.get_executor());
    std::unique_ptr<transport::http_call> call;
    bool has_request = false;
    bool may_read = true;
    bool is_done = false;
    bool has_failed = false;
    std::optional<boost::system::error_code> end;
    scripted_server server;
};

} // namespace

// Guards against a request that reaches a server after it was given up.
TEST_CASE("a connection is reset unless its call is complete")
{
    CHECK(choose_close(call_progress::none) == close_kind::orderly);
    CHECK(choose_close(call_progress::unanswered) == close_kind::reset);
    CHECK(choose_close(call_progress::answered_early) == close_kind::reset);
    CHECK(choose_close(call_progress::answered) == close_kind::orderly);
}

// Guards against bytes of a request that the kernel still delivers after each of the ways
// in which its call can end.
TEST_CASE("the server of a call that is given up sees a reset")
{
    SUBCASE("no progress")
    {
        closing_test test;
        test.progress_timeout = milliseconds(100);
        test.begin_fetch();
        test.check_end(close_kind::reset);
        CHECK(test.has_failed);
    }
    SUBCASE("the time of the whole call is over")
    {
        closing_test test;
        test.total_timeout = milliseconds(100);
        test.begin_fetch();
        test.check_end(close_kind::reset);
        CHECK(test.has_failed);
    }
    SUBCASE("half of the response has arrived")
    {
        closing_test test("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf");
        test.progress_timeout = milliseconds(100);
        test.begin_fetch();
        test.check_end(close_kind::reset);
        CHECK(test.has_failed);
    }
    SUBCASE("the call is aborted")
    {
        closing_test test;
        test.begin_call();
        test.run_until([&test] { return test.has_request; });
        test.call->abort();
        test.check_end(close_kind::reset);
    }
    SUBCASE("the connections to the address are closed")
    {
        closing_test test;
        test.begin_fetch();
        test.run_until([&test] { return test.has_request; });
        test.client->close_connections(test.server.address);
        test.check_end(close_kind::reset);
    }
    SUBCASE("the response was early, and the rest of the request is not needed")
    {
        closing_test test(whole_response);
        test.may_read = false;
        test.begin_fetch(long_body_bytes);
        test.run_until([&test] { return test.is_done; });
        CHECK_FALSE(test.has_failed);
        test.may_read = true;
        test.check_end(close_kind::reset);
    }
}

// Guards against resets that a server sees although nothing was given up.
TEST_CASE("the server of a complete call sees an orderly close")
{
    SUBCASE("the connection is not kept")
    {
        closing_test test(closing_response);
        test.begin_fetch();
        test.check_end(close_kind::orderly);
        CHECK_FALSE(test.has_failed);
    }
    SUBCASE("the idle connection is dropped")
    {
        closing_test test(whole_response);
        test.begin_fetch();
        test.run_until([&test] { return test.is_done; });
        test.client->close_idle_connections(test.server.address);
        test.check_end(close_kind::orderly);
        CHECK_FALSE(test.has_failed);
    }
    SUBCASE("the client is destroyed")
    {
        closing_test test(whole_response);
        test.begin_fetch();
        test.run_until([&test] { return test.is_done; });
        test.client.reset();
        test.check_end(close_kind::orderly);
    }
}
