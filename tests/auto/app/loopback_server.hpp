#pragma once

#include "state/counters.hpp"
#include "transport/event_loop_thread.hpp"
#include "transport/http_server.hpp"

#include <boost/system/system_error.hpp>

#include <atomic>
#include <functional>
#include <optional>
#include <string>

namespace pomelorouter::test
{

/// HTTP server on a loopback port chosen by the kernel. The function returns the response
/// to a request, or nothing to have the connection closed without a response.
class loopback_server : public transport::http_handler
{
public:
    using answer_function = std::function<std::optional<transport::http_response>(
        const transport::http_request&)>;

    explicit loopback_server(answer_function function)
        : answer(std::move(function)), server(thread.context(), {}, *this, counters)
    {
        this->address = this->server.listen("127.0.0.1:0");
        this->thread.start();
    }
    ~loopback_server() override { this->thread.stop(); }
    loopback_server(const loopback_server&) = delete;
    loopback_server& operator=(const loopback_server&) = delete;

    boost::asio::awaitable<void> handle(transport::http_exchange& exchange) override
    {
        ++this->requests;
        std::optional<transport::http_response> response =
            this->answer(exchange.request());
        if (!response)
        {
            throw boost::system::system_error(
                make_error_code(boost::system::errc::connection_reset));
        }
        co_await exchange.respond(std::move(*response));
    }

    std::string address;
    std::atomic<int> requests{0};

private:
    answer_function answer;
    state::counter_registry counters;
    transport::event_loop_thread thread{"loopback"};
    transport::http_server server;
};

} // namespace pomelorouter::test
