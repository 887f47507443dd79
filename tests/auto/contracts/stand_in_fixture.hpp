#pragma once

#include "tools/fault_handler.hpp"
#include "transport/http_client.hpp"
#include "transport/http_log_service.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <future>
#include <stdexcept>
#include <string>
#include <utility>

namespace contracts
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file

/// Event loop and client of one test.
class test_loop
{
public:
    // Declared before the loop, because sessions that the loop destroys still use it.
    state::counter_registry counters;
    boost::asio::io_context loop{1};
    transport::http_client client{loop.get_executor()};

    template <typename T>
    std::future<T> spawn(boost::asio::awaitable<T> task)
    {
        return boost::asio::co_spawn(this->loop, std::move(task),
                                     boost::asio::use_future);
    }

    /// Runs the loop until the condition holds; throws after 20 s, so that a failing test
    /// ends.
    template <typename Condition>
    void run_until(Condition condition)
    {
        const auto limit = std::chrono::steady_clock::now() + state::seconds(20);
        while (!condition())
        {
            if (std::chrono::steady_clock::now() > limit)
                throw std::runtime_error("the condition was not met within 20 s");
            this->loop.restart();
            this->loop.run_one_for(state::milliseconds(5));
        }
    }

    template <typename T>
    T wait(std::future<T> result)
    {
        this->run_until(
            [&] {
                return result.wait_for(std::chrono::seconds(0)) ==
                       std::future_status::ready;
            });
        return result.get();
    }

    template <typename T>
    T wait(boost::asio::awaitable<T> task)
    {
        return this->wait(this->spawn(std::move(task)));
    }
};

/// Serves one stand-in with its fault handler over loopback.
template <typename Handler>
class stand_in_server
{
public:
    template <typename... Arguments>
    explicit stand_in_server(test_loop& test, const transport::http_server_limits& limits,
                             Arguments&&... arguments)
        : context(test),
          handler(test.loop, std::forward<Arguments>(arguments)...),
          faults(test.loop, handler),
          server(test.loop, limits, faults, test.counters),
          address(server.listen("127.0.0.1:0"))
    {
    }

    std::future<transport::http_response> start(const transport::http_request& request)
    {
        return this->context.spawn(
            call(this->context.client, this->address, request, this->options));
    }

    transport::http_response fetch(const transport::http_request& request)
    {
        return this->context.wait(this->start(request));
    }

    transport::http_response get(const std::string& target)
    {
        return this->fetch(transport::make_request(transport::verb::get, target));
    }

    transport::http_response post(const std::string& target, const std::string& body)
    {
        return this->fetch(transport::make_request(transport::verb::post, target, body));
    }

    void set_faults(const std::string& body)
    {
        if (this->post("/control/faults", body).result() != transport::status::ok)
            throw std::runtime_error("the stand-in rejected the faults: " + body);
    }

    // Takes copies, because the caller does not wait for the response.
    static boost::asio::awaitable<transport::http_response>
    call(transport::http_client& client, std::string to, transport::http_request request,
         transport::http_call_options call_options)
    {
        co_return co_await client.fetch(to, request, call_options);
    }

    test_loop& context;
    Handler handler;
    tools::fault_handler faults;
    transport::http_server server;
    std::string address;
    transport::http_call_options options;
};

} // namespace contracts
