#include "transport/http_server_state.hpp"

#include "state/log.hpp"
#include "transport/http_session.hpp"

namespace pomelorouter::transport::internal
{

namespace asio = boost::asio;
using state::milliseconds;
using state::now;

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
