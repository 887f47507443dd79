#pragma once

#include "transport/event_loop_thread.hpp"
#include "transport/timer_service.hpp"

namespace pomelorouter::transport
{

/// Timer service that uses the steady clock and a thread of its own.
class thread_timer_service : public timer_service
{
public:
    thread_timer_service();
    ~thread_timer_service() override;

    state::time_point now() const override;
    std::unique_ptr<timer_subscription> every(state::milliseconds period,
                                              boost::asio::any_io_executor target,
                                              timer_callback callback) override;
    std::unique_ptr<timer_subscription> after(state::milliseconds delay,
                                              boost::asio::any_io_executor target,
                                              timer_callback callback) override;

private:
    event_loop_thread thread;
};

} // namespace pomelorouter::transport
