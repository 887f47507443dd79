#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <string>
#include <thread>

namespace pomelorouter::transport
{

/// Thread that runs its own event loop. An exception that leaves a handler is logged, and
/// the loop goes on.
class event_loop_thread
{
public:
    explicit event_loop_thread(std::string name);
    /// Stops the loop and joins the thread.
    ~event_loop_thread();
    event_loop_thread(const event_loop_thread&) = delete;
    event_loop_thread& operator=(const event_loop_thread&) = delete;

    boost::asio::io_context& context() { return this->loop; }
    boost::asio::any_io_executor executor() { return this->loop.get_executor(); }

    void start();
    void stop();

private:
    void run();

    std::string name;
    boost::asio::io_context loop{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::thread thread;
};

} // namespace pomelorouter::transport
