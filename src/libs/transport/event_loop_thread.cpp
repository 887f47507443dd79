#include "transport/event_loop_thread.hpp"

#include "state/log.hpp"

#include <pthread.h>

#include <utility>

namespace pomelorouter::transport
{

namespace
{
// Limit of the Linux kernel, without the terminating null byte.
constexpr std::size_t max_thread_name_bytes = 15;
} // namespace

event_loop_thread::event_loop_thread(std::string thread_name)
    : name(std::move(thread_name)), work(this->loop.get_executor())
{
}

event_loop_thread::~event_loop_thread()
{
    this->stop();
}

void event_loop_thread::start()
{
    this->thread = std::thread([this] { this->run(); });
    pthread_setname_np(this->thread.native_handle(),
                       this->name.substr(0, max_thread_name_bytes).c_str());
}

void event_loop_thread::stop()
{
    this->work.reset();
    this->loop.stop();
    if (this->thread.joinable())
        this->thread.join();
}

void event_loop_thread::run()
{
    // An exception of one handler must not stop the handlers that run after it.
    while (!this->loop.stopped())
    {
        try
        {
            this->loop.run();
        }
        catch (const std::exception& failure)
        {
            state::log_event(state::log_level::error, "unhandled_exception")
                .field("thread", this->name)
                .field("what", failure.what());
        }
    }
}

} // namespace pomelorouter::transport
