#pragma once

#include "state/clock.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace pomelorouter::transport
{

/// Called on the subscriber's executor with the current time.
using timer_callback = std::function<void(state::time_point)>;

/// Subscription to a timer, which ends when this object is destroyed. Must be destroyed
/// on the subscriber's executor.
class timer_subscription
{
public:
    virtual ~timer_subscription() = default;
};

/// Clock and timers of a process. Callbacks run on the executor `target`.
class timer_service
{
public:
    virtual ~timer_service() = default;

    virtual state::time_point now() const = 0;
    /// Calls `callback` every `period` until the subscription is destroyed.
    virtual std::unique_ptr<timer_subscription> every(state::milliseconds period,
                                                      boost::asio::any_io_executor target,
                                                      timer_callback callback) = 0;
    /// Calls `callback` once after `delay`, unless the subscription is destroyed first.
    virtual std::unique_ptr<timer_subscription> after(state::milliseconds delay,
                                                      boost::asio::any_io_executor target,
                                                      timer_callback callback) = 0;
};

} // namespace pomelorouter::transport
