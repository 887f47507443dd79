#include "stand_in_fixture.hpp"

#include "state/error.hpp"
#include "tools/service_stand_in/service_handler.hpp"
#include "transport/http_error.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>
#include <doctest/doctest.h>

#include "transport/address.hpp"

using namespace contracts; // NOLINT(google-build-using-namespace): test file

namespace
{

struct service_test
{
    explicit service_test(const transport::http_server_limits& limits = {})
        : service(test, limits, state::milliseconds(1))
    {
    }

    /// Sends an order with this idempotency key; returns whether the service answered
    /// with 200.
    bool order(const std::string& key)
    {
        auto request =
            transport::make_request(transport::verb::post, "/orders", R"({"n":1})");
        request.set("Idempotency-Key", key);
        try
        {
            return this->service.fetch(request).result() == transport::status::ok;
        }
        catch (const transport::http_error& failure)
        {
            CHECK(failure.request_may_have_been_sent());
            return false;
        }
    }

    std::int64_t runs(const std::string& key)
    {
        const auto counts = boost::json::parse(this->service.get("/control/runs").body());
        const auto* count = counts.as_object().if_contains(key);
        return count == nullptr ? 0 : count->to_number<std::int64_t>();
    }

    /// Sends raw bytes and returns the bytes received until the connection closes.
    std::string raw(const std::string& bytes)
    {
        return this->test.wait(exchange(this->service.address, bytes));
    }

    static boost::asio::awaitable<std::string> exchange(std::string address,
                                                        std::string bytes)
    {
        boost::asio::ip::tcp::socket socket(co_await boost::asio::this_coro::executor);
        co_await socket.async_connect(transport::parse_address(address),
                                      boost::asio::use_awaitable);
        boost::system::error_code ignored;
        co_await boost::asio::async_write(
            socket, boost::asio::buffer(bytes),
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        std::string answer;
        co_await boost::asio::async_read(
            socket, boost::asio::dynamic_buffer(answer),
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        co_return answer;
    }

    test_loop test;
    stand_in_server<tools::service_handler> service;
};

} // namespace

// Guards against treating an order whose response was lost as not executed.
TEST_CASE(
    "an order is executed unless the service refuses it, even if the response is lost")
{
    struct row
    {
        const char* faults;
        bool answered;
        int runs;
    };
    const row rows[] = {
        {"{}", true, 1},
        {R"({"lose_answers":{"path":"/orders","count":1}})", false, 1},
        {R"({"refuse":true})", false, 0},
        {R"({"leaving":"refuse"})", false, 0},
        {R"({"leaving":"noted"})", true, 1},
        {R"({"down":"unavailable"})", false, 0},
        {R"({"late_ms":20})", true, 1},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.faults);
        service_test t;
        t.service.set_faults(item.faults);
        CHECK(t.order("k") == item.answered);
        CHECK(t.runs("k") == item.runs);
    }
}

// Guards against a frozen service that executes a request before it is thawed.
TEST_CASE("a frozen service accepts a request and executes it after it is thawed")
{
    service_test t;
    t.service.set_faults(R"({"freeze":true})");
    auto request = transport::make_request(transport::verb::post, "/orders", "{}");
    request.set("Idempotency-Key", "k");
    auto waiting = t.service.start(request);
    CHECK(t.runs("k") == 0);
    t.service.set_faults(R"({"freeze":false})");
    CHECK(t.test.wait(std::move(waiting)).result() == transport::status::ok);
    CHECK(t.runs("k") == 1);
}

// Guards against clients that block or crash the server with a bad request: the server
// answers each with a status and closes the connection.
TEST_CASE("malformed, oversized and slow requests are refused with the matching status")
{
    transport::http_server_limits limits;
    limits.max_body_bytes = 1000;
    limits.max_header_bytes = 500;
    limits.io_timeout = state::milliseconds(100);
    struct row
    {
        const char* name;
        std::string bytes;
        const char* status;
    };
    const row rows[] = {
        {"oversized body", "POST /o HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\nx",
         "413"},
        {"oversized header",
         "GET /o HTTP/1.1\r\nHost: x\r\nX: " + std::string(1000, 'x') + "\r\n\r\n",
         "431"},
        {"slow header", "GET /o HTTP/1.1\r\nHost", "408"},
        {"slow body", "POST /o HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nx",
         "408"},
        {"no HTTP", "\x01\x02\x03\x04 nonsense\r\n\r\n", "400"},
        {"bad length", "POST /o HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
         "400"},
    };
    for (const row& item : rows)
    {
        CAPTURE(item.name);
        service_test t(limits);
        const std::string answer = t.raw(item.bytes);
        CHECK(answer.substr(0, 12) == "HTTP/1.1 " + std::string(item.status));
        CHECK(t.runs("") == 0);
    }
}
