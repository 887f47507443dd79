#include "transport/http_server_state.hpp"

#include "state/log.hpp"
#include "transport/http_session.hpp"

#include <algorithm>

namespace pomelorouter::transport::internal
{

namespace asio = boost::asio;
using state::milliseconds;
using state::now;

namespace
{

/// At most this part of the memory for large bodies is kept free. Without a bound, a
/// configuration with very large bodies would leave no room to small ones.
constexpr std::size_t kept_free_divisor = 2;

} // namespace

std::size_t body_cost(std::size_t bytes)
{
    return bytes + std::min(bytes, read_buffer_bytes);
}

http_server_state::http_server_state(asio::io_context& event_loop,
                                     const http_server_limits& server_limits,
                                     http_handler& request_handler,
                                     state::counter_registry& counters)
    : loop(event_loop),
      limits(std::make_shared<const http_server_limits>(server_limits)),
      handler(request_handler),
      acceptor(event_loop),
      requests(counters.count("http_requests_total", "requests received")),
      bad_requests(counters.count("http_bad_requests_total",
                                  "requests refused before they reached a handler")),
      refused_connections(counters.count("http_refused_connections_total",
                                         "connections closed over max_connections")),
      open_connections(
          counters.gauge("http_open_connections", "open client connections")),
      closed_for_memory(
          counters.count("memory_closed_connections_total",
                         "connections closed because others needed their room")),
      refused_for_memory(
          counters.count("memory_refusals_total", "requests refused for lack of memory")),
      accept_failures(counters.count("http_accept_failures_total",
                                     "connections that the kernel did not accept")),
      memory_released(event_loop.get_executor())
{
}

bool http_server_state::close_longest_idle()
{
    if (!this->limits->idle_connections_give_way)
        return false;
    for (http_session* const session : this->idle)
    {
        // Its request has arrived and is about to be read.
        if (session->has_unread_bytes())
            continue;
        this->closed_for_memory.add();
        session->close_idle();
        return true;
    }
    return false;
}

std::size_t http_server_state::kept_free(const http_session& session, memory_use use,
                                         std::size_t bytes) const
{
    if (use != memory_use::large_bodies)
        return 0;
    std::size_t largest = session.has_open_size() ? bytes : 0;
    for (const http_session* const other : this->receiving)
    {
        if (other->has_open_size() && !other->has_given_way())
            largest = std::max(largest, other->held(use));
    }
    if (largest == 0)
        return 0;
    const std::size_t most =
        std::min(body_cost(this->limits->max_body_bytes + read_buffer_bytes),
                 this->memory->limit(use) / kept_free_divisor);
    return most - std::min(most, largest);
}

void http_server_state::make_room(memory_use use, std::size_t bytes)
{
    std::size_t released = 0;
    for (const http_session* const session : this->receiving)
    {
        if (session->has_given_way())
            released += session->held(use);
    }
    while (released < bytes)
    {
        http_session* latest = nullptr;
        milliseconds longest = max_standstill;
        for (http_session* const session : this->receiving)
        {
            if (session->has_given_way() || session->is_waiting() ||
                session->held(use) == 0)
                continue;
            const milliseconds late = standstill(session->progress(), now());
            if (late < longest)
                continue;
            latest = session;
            longest = late;
        }
        if (latest == nullptr)
            return;
        this->closed_for_memory.add();
        state::log_event(state::log_level::info, "memory_connection_closed")
            .field("use", to_string(use))
            .field("bytes", static_cast<std::uint64_t>(latest->held(use)))
            .field("late_ms", longest.count());
        released += latest->held(use);
        latest->give_way();
    }
}

} // namespace pomelorouter::transport::internal
