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

/// Runs the event loop of the runner on a separate thread and offers blocking calls to
/// the main thread.
class http_agent
{
public:
    http_agent();
    ~http_agent();
    http_agent(const http_agent&) = delete;
    http_agent& operator=(const http_agent&) = delete;

    boost::asio::io_context& context() { return this->loop; }
    transport::http_client& client() { return this->http; }

    /// Sends a request and waits for the response; returns nothing if the request failed.
    std::optional<transport::http_response> fetch(const std::string& address,
                                                  transport::verb method,
                                                  const std::string& target,
                                                  const std::string& body = {});
    /// Returns the body of a 200 response as JSON; null for any other result.
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
