#pragma once

#include "coordination/backend_crash.hpp"
#include "state/backend_entry.hpp"
#include "state/counters.hpp"
#include "transport/http_client.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace pomelorouter::app
{

/// Finds out whether lost connections mean that the process of a backend server ended.
class crash_detector
{
public:
    using crash_callback = std::function<void(const coordination::backend_crash&)>;

    crash_detector(boost::asio::any_io_executor loop_executor,
                   transport::http_client& backend_client,
                   state::counter_registry& counters, crash_callback on_crash);

    /// Reports a call whose connection was lost. `call` is empty if the backend server
    /// had begun to answer it. May be called again for a process that has ended already.
    void on_call_lost(const state::backend_entry& entry,
                      std::optional<coordination::unanswered_call> call);
    /// Forgets processes that ended long ago.
    void forget_old(state::time_point now);

private:
    boost::asio::awaitable<void> check(std::string address, std::string process);
    void report(coordination::backend_crash crash);

    boost::asio::any_io_executor executor;
    transport::http_client& client;
    state::counter& crashes;
    crash_callback crash_reported;
    /// Processes that are being checked, with the calls that were lost meanwhile.
    std::map<std::string, coordination::backend_crash, std::less<>> pending;
    /// Processes that ended, and when.
    std::map<std::string, state::time_point, std::less<>> ended;
};

} // namespace pomelorouter::app
