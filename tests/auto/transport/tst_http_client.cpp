#include "transport/http_client.hpp"

#include "scripted_server.hpp"
#include "state/error.hpp"
#include "transport/pause.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using boost::asio::awaitable;
using boost::asio::ip::tcp;
using test::scripted_server;

/// Larger than the buffers of both kernels, so that the write of the request is pending
/// while the server does not read.
constexpr std::size_t long_body_bytes = 4 * 1024 * 1024;
/// Longer than a connection is kept whose peer acknowledges nothing.
constexpr state::milliseconds work_time{3500};
const std::string unframed_head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

/// Outcome of one `http_client::fetch()`: a body or the error.
struct fetch_result
{
    std::optional<std::string> body;
    std::string problem;
    std::string code;
};

awaitable<void> fetch_into(transport::http_client& client, std::string address,
                           std::size_t body_bytes, fetch_result& result, int& open_calls)
{
    transport::http_call_options options;
    options.progress_timeout = state::seconds(15);
    options.total_timeout = state::seconds(20);
    try
    {
        const auto response =
            co_await client.fetch(address,
                                  transport::make_request(transport::verb::post, "/x",
                                                          std::string(body_bytes, 'x')),
                                  options);
        result.body = response.body();
    }
    catch (const state::error& failure)
    {
        result.problem = failure.what();
        result.code = to_string(failure.code());
    }
    --open_calls;
}

/// Runs the loop until all calls have ended. The limit is reached only if a test fails.
void run_until_done(boost::asio::io_context& loop, const int& open_calls)
{
    const auto end = state::now() + state::seconds(30);
    while (open_calls > 0 && state::now() < end)
    {
        loop.restart();
        loop.run_one_for(state::milliseconds(20));
    }
    REQUIRE(open_calls == 0);
}

} // namespace

// Guards against half of a response that is taken for all of it: the connection is
// lost while the request is still being written, and the response has no length.
TEST_CASE("a response without length is complete only if the server closed it")
{
    struct row
    {
        std::string name;
        std::size_t body_bytes;
        scripted_server::script script;
        bool is_complete;
    };
    const auto answer_and_reset = [](tcp::socket& socket) -> awaitable<void>
    {
        co_await test::read_request_head(socket);
        co_await test::write_text(socket, unframed_head + "half");
        // The client has received the first half when the reset arrives.
        co_await transport::pause(socket.get_executor(), state::milliseconds(200));
        test::reset_connection(socket);
    };
    const auto answer_and_read_on = [](tcp::socket& socket) -> awaitable<void>
    {
        co_await test::read_request_head(socket);
        co_await test::write_text(socket, unframed_head + "half");
        socket.shutdown(tcp::socket::shutdown_send);
        co_await test::read_to_end(socket);
    };
    const auto read_and_answer = [](tcp::socket& socket) -> awaitable<void>
    {
        co_await test::read_request_head(socket);
        co_await test::write_text(socket, unframed_head + "half");
    };
    const auto answer_close_and_reset = [](tcp::socket& socket) -> awaitable<void>
    {
        co_await test::read_request_head(socket);
        co_await test::write_text(socket, unframed_head + "half");
        socket.shutdown(tcp::socket::shutdown_send);
        test::reset_connection(socket);
    };
    const row rows[] = {
        {"reset while the request is written", long_body_bytes, answer_and_reset, false},
        {"reset after the request", 0, answer_and_reset, false},
        {"closed, and the rest of the request read", long_body_bytes, answer_and_read_on,
         true},
        {"closed after the request", 0, read_and_answer, true},
        {"closed, then reset because of the request", long_body_bytes,
         answer_close_and_reset, true},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        boost::asio::io_context loop{1};
        scripted_server server(loop, item.script);
        transport::http_client client(loop.get_executor());
        fetch_result result;
        int open_calls = 1;
        boost::asio::co_spawn(
            loop, fetch_into(client, server.address, item.body_bytes, result, open_calls),
            boost::asio::detached);
        run_until_done(loop, open_calls);
        CAPTURE(result.problem);
        CHECK(result.body.has_value() == item.is_complete);
        if (item.is_complete && result.body)
            CHECK(*result.body == "half");
    }
}

// Guards against a sound connection that is cut: the server answers before it has
// read a long request, works for a time and reads the rest later.
TEST_CASE("a server that reads a long request late delivers its whole response")
{
    struct row
    {
        std::string name;
        std::string head;
        std::string first_half;
        std::string second_half;
    };
    const std::vector<row> rows{
        {"without length", unframed_head, "first ", "second"},
        {"with length", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", "first ",
         "second"},
        {"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
         "6\r\nfirst \r\n", "6\r\nsecond\r\n0\r\n\r\n"},
    };
    boost::asio::io_context loop{1};
    transport::http_client client(loop.get_executor());
    std::vector<std::unique_ptr<scripted_server>> servers;
    std::vector<fetch_result> results(rows.size());
    int open_calls = static_cast<int>(rows.size());
    for (std::size_t i = 0; i < rows.size(); ++i)
    {
        const row& item = rows[i];
        const auto script = [&item](tcp::socket& socket) -> awaitable<void>
        {
            co_await test::read_request_head(socket);
            co_await test::write_text(socket, item.head + item.first_half);
            co_await transport::pause(socket.get_executor(), work_time);
            co_await test::write_text(socket, item.second_half);
            socket.shutdown(tcp::socket::shutdown_send);
            co_await test::read_to_end(socket);
        };
        servers.push_back(std::make_unique<scripted_server>(loop, script));
        boost::asio::co_spawn(loop,
                              fetch_into(client, servers.back()->address, long_body_bytes,
                                         results[i], open_calls),
                              boost::asio::detached);
    }
    run_until_done(loop, open_calls);
    for (std::size_t i = 0; i < rows.size(); ++i)
    {
        CAPTURE(rows[i].name);
        CAPTURE(results[i].problem);
        CHECK(results[i].body == "first second");
    }
}

// Guards against a body that fills the memory of the caller because its framing escapes
// the limit.
TEST_CASE("a response body over the limit ends the call, whatever its framing")
{
    const std::size_t limit = transport::http_call_options{}.max_body_bytes;
    struct row
    {
        std::string name;
        std::string response;
        std::string expected_code;
    };
    const auto whole = [](std::size_t size)
    {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" +
               std::string(size, 'x');
    };
    const std::string too_large(to_string(state::error_code::too_large));
    const std::vector<row> rows{
        {"at the limit", whole(limit), ""},
        {"with length", whole(limit + 1), too_large},
        {"length that no body has",
         "HTTP/1.1 200 OK\r\nContent-Length: 1" + std::string(18, '0') + "\r\n\r\n",
         too_large},
        {"without length", unframed_head + std::string(limit + 1, 'x'), too_large},
        {"chunked",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" +
             std::string(limit + 1, 'x') + "\r\n0\r\n\r\n",
         too_large},
    };
    REQUIRE(limit == 0x10000);
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        boost::asio::io_context loop{1};
        scripted_server server(loop,
                               [&item](tcp::socket& socket) -> awaitable<void>
                               {
                                   co_await test::read_request_head(socket);
                                   co_await test::write_text(socket, item.response);
                                   co_await test::read_to_end(socket);
                               });
        transport::http_client client(loop.get_executor());
        fetch_result result;
        int open_calls = 1;
        boost::asio::co_spawn(loop,
                              fetch_into(client, server.address, 0, result, open_calls),
                              boost::asio::detached);
        run_until_done(loop, open_calls);
        CHECK(result.code == item.expected_code);
    }
}
