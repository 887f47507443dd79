#include "http_agent.hpp"

#include "state/error.hpp"
#include "state/json_reader.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

#include <future>

namespace pomelorouter::scenario
{

namespace asio = boost::asio;

namespace
{

constexpr state::milliseconds call_timeout{15000};

asio::awaitable<transport::http_response>
call(transport::http_client& client, std::string address, transport::http_request request)
{
    transport::http_call_options options;
    options.progress_timeout = call_timeout;
    options.fresh_connection = true;
    options.max_body_bytes = 64 * 1024 * 1024;
    co_return co_await client.fetch(address, request, options);
}

} // namespace

http_agent::http_agent()
    : work(asio::make_work_guard(this->loop)),
      http(this->loop.get_executor()),
      thread([this] { this->loop.run(); })
{
}

http_agent::~http_agent()
{
    this->stop();
}

void http_agent::stop()
{
    this->loop.stop();
    if (this->thread.joinable())
        this->thread.join();
}

std::optional<transport::http_response> http_agent::fetch(const std::string& address,
                                                          transport::verb method,
                                                          const std::string& target,
                                                          const std::string& body)
{
    try
    {
        return asio::co_spawn(this->loop,
                              call(this->http, address,
                                   transport::make_request(method, target, body)),
                              asio::use_future)
            .get();
    }
    catch (const state::error&)
    {
        return std::nullopt;
    }
}

boost::json::value http_agent::get_json(const std::string& address,
                                        const std::string& target)
{
    const auto response = this->fetch(address, transport::verb::get, target);
    if (!response || response->result() != transport::status::ok)
        return nullptr;
    try
    {
        return state::parse_json(response->body(), target);
    }
    catch (const state::error&)
    {
        return nullptr;
    }
}

void http_agent::run(const std::function<void()>& task)
{
    asio::post(this->loop, asio::use_future(task)).get();
}

} // namespace pomelorouter::scenario
