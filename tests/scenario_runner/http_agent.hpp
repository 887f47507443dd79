#pragma once

#include "transport/http_client.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace pomelorouter::scenario
{

/// Event loop of the runner on a thread of its own, and calls to it from the main thread.
class http_agent
{
public:
    http_agent();
    ~http_agent();
    http_agent(const http_agent&) = delete;
    http_agent& operator=(const http_agent&) = delete;

    boost::asio::io_context& context() { return this->loop; }
    transport::http_client& client() { return this->http; }

    /// Waits for the answer; nothing if there was none.
    std::optional<transport::http_response> fetch(const std::string& address,
                                                  transport::verb method,
                                                  const std::string& target,
                                                  const std::string& body = {});
    /// Body of a 200 answer as JSON; null if there was none.
    boost::json::value get_json(const std::string& address, const std::string& target);
    /// Stops the loop; no task runs after that.
    void stop();
    /// Posts a task to the loop and waits until it has run.
    void run(const std::function<void()>& task);

private:
    boost::asio::io_context loop{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    transport::http_client http;
    std::thread thread;
};

} // namespace pomelorouter::scenario
