#pragma once

#include "transport/async_event.hpp"
#include "transport/http_server.hpp"
#include "transport/memory_budget.hpp"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <list>
#include <memory>
#include <set>

namespace pomelorouter::transport::internal
{

class http_session;

/// What the sessions of one server share. Accessed only from the event loop thread.
struct http_server_state
{
    http_server_state(boost::asio::io_context& event_loop,
                      const http_server_limits& server_limits,
                      http_handler& request_handler, state::counter_registry& counters);

    /// Closes the connection that has waited longest for a request. Returns whether there
    /// was one.
    bool close_longest_idle();
    /// Memory that stays free if the request of a session gets `bytes` for a use, so that
    /// the largest body of unknown size can be completed.
    std::size_t kept_free(const http_session& session, memory_use use,
                          std::size_t bytes) const;
    /// Makes senders that stand still give way, the one that is latest first, until they
    /// will have given back `bytes` of the memory for a use.
    void make_room(memory_use use, std::size_t bytes);

    boost::asio::io_context& loop;
    /// Replaced as a whole by a change; a request keeps those with which it began.
    std::shared_ptr<const http_server_limits> limits;
    http_handler& handler;
    boost::asio::ip::tcp::acceptor acceptor;
    state::counter& requests;
    state::counter& bad_requests;
    state::counter& refused_connections;
    state::counter& open_connections;
    state::counter& closed_for_memory;
    state::counter& refused_for_memory;
    state::counter& accept_failures;
    std::set<http_session*> sessions;
    /// Sessions that wait for a request, the longest waiting first.
    std::list<http_session*> idle;
    /// Sessions that are receiving a request.
    std::set<http_session*> receiving;
    std::shared_ptr<memory_budget> memory;
    memory_use connection_use = memory_use::connections;
    memory_use request_use = memory_use::requests;
    memory_use large_body_use = memory_use::large_bodies;
    async_event memory_released;
    /// Takes bytes that are read and dropped.
    std::array<char, 16 * 1024> dropped_bytes{};
    /// Ends the wait for the first request on connections that had none when the server
    /// stopped accepting.
    boost::asio::steady_timer first_request_timer{this->loop};
    std::uint64_t last_connection_number = 0;
    /// Read by other threads during a planned stop.
    std::atomic<std::size_t> in_flight = 0;
    bool closing = false;
    bool accepting = true;
};

} // namespace pomelorouter::transport::internal
