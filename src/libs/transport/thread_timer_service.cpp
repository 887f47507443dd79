#include "transport/thread_timer_service.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <utility>

namespace pomelorouter::transport
{

namespace
{

/// Timer of one subscriber. Runs on the timer thread and is shared with its subscription.
class timer_entry : public std::enable_shared_from_this<timer_entry>
{
public:
    timer_entry(boost::asio::io_context& loop, state::milliseconds entry_period,
                bool repeats, boost::asio::any_io_executor entry_target,
                timer_callback entry_callback)
        : timer(loop),
          period(entry_period),
          repeat(repeats),
          target(std::move(entry_target)),
          callback(std::move(entry_callback))
    {
    }

    void arm(state::time_point deadline)
    {
        this->timer.expires_at(deadline);
        this->timer.async_wait(
            [self = this->shared_from_this(), deadline](boost::system::error_code failure)
            {
                if (!failure && !self->cancelled)
                    self->fire(deadline);
            });
    }

    void cancel() { this->cancelled = true; }
    boost::asio::steady_timer& handle() { return this->timer; }

private:
    void fire(state::time_point deadline)
    {
        // The check is repeated on the target executor, since the subscription is
        // destroyed there and may be gone by then.
        boost::asio::post(this->target,
                          [self = this->shared_from_this()]
                          {
                              if (!self->cancelled)
                                  self->callback(std::chrono::steady_clock::now());
                          });
        if (!this->repeat)
            return;
        // If the process was paused, the missed periods are skipped.
        const auto now = std::chrono::steady_clock::now();
        const auto next = deadline + this->period;
        this->arm(next > now ? next : now + this->period);
    }

    boost::asio::steady_timer timer;
    state::milliseconds period;
    bool repeat;
    boost::asio::any_io_executor target;
    timer_callback callback;
    std::atomic<bool> cancelled{false};
};

class thread_subscription : public timer_subscription
{
public:
    thread_subscription(boost::asio::io_context& timer_loop,
                        std::shared_ptr<timer_entry> timer_entry_ptr)
        : loop(timer_loop), entry(std::move(timer_entry_ptr))
    {
    }

    ~thread_subscription() override
    {
        this->entry->cancel();
        boost::asio::post(this->loop,
                          [target = this->entry] { target->handle().cancel(); });
    }
    thread_subscription(const thread_subscription&) = delete;
    thread_subscription& operator=(const thread_subscription&) = delete;

private:
    boost::asio::io_context& loop;
    std::shared_ptr<timer_entry> entry;
};

std::unique_ptr<timer_subscription> subscribe(boost::asio::io_context& loop,
                                              state::milliseconds period, bool repeat,
                                              boost::asio::any_io_executor target,
                                              timer_callback callback)
{
    auto entry = std::make_shared<timer_entry>(loop, period, repeat, std::move(target),
                                               std::move(callback));
    const auto deadline = std::chrono::steady_clock::now() + period;
    boost::asio::post(loop, [entry, deadline] { entry->arm(deadline); });
    return std::make_unique<thread_subscription>(loop, entry);
}

} // namespace

thread_timer_service::thread_timer_service() : thread("timer")
{
    this->thread.start();
}

thread_timer_service::~thread_timer_service() = default;

state::time_point thread_timer_service::now() const
{
    return std::chrono::steady_clock::now();
}

std::unique_ptr<timer_subscription>
thread_timer_service::every(state::milliseconds period,
                            boost::asio::any_io_executor target, timer_callback callback)
{
    return subscribe(this->thread.context(), period, true, std::move(target),
                     std::move(callback));
}

std::unique_ptr<timer_subscription>
thread_timer_service::after(state::milliseconds delay,
                            boost::asio::any_io_executor target, timer_callback callback)
{
    return subscribe(this->thread.context(), delay, false, std::move(target),
                     std::move(callback));
}

} // namespace pomelorouter::transport
