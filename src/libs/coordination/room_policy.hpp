#pragma once

#include "state/gateway_config.hpp"

#include <cstddef>
#include <optional>
#include <string_view>

namespace pomelorouter::coordination
{

/// Urgency of a request compared with the other routes of its service.
struct room_class
{
    /// Teams compete for the service, whose routes have different ranks. Otherwise each
    /// gateway decides by its own queue.
    bool is_ranked = false;
    /// Number of ranks that are more urgent.
    int more_urgent_ranks = 0;
    /// Target of the time to the first byte.
    double target_ms = 1000.0;
    /// Smallest target among the routes of more urgent ranks.
    double urgent_target_ms = 1000.0;
};

/// Returns the rank of a request; 0 is the highest. The priority of its team, if it has
/// one, takes precedence over that of its route, which decides between the requests of
/// teams with equal priority.
int request_rank(std::optional<int> team_priority, int route_priority);

/// Compares a request whose route has the priority `rank` with the routes that lead to
/// `service`.
room_class classify_request(const state::gateway_config& config, std::string_view service,
                            int rank, state::milliseconds target);

/// Returns the longest expected queue of an engine, in milliseconds, to which a request
/// may be sent that has waited for `waited_ms`. `idle_ms` is the time to its first byte
/// at an idle engine.
double queue_limit_ms(const room_class& request, double waited_ms, double idle_ms);

/// Returns the priority of a call at its engine, 0 to 9. `is_late` says that the answer
/// cannot begin within the target any more.
int engine_priority(int rank, bool is_late, bool is_resumed);

/// Requests that wait at gateways for the same engines, in milliseconds of engine time.
/// Counts those that precede a given request.
struct waiting_work
{
    /// At this gateway, without the request itself.
    double own_ms = 0.0;
    /// At the other gateways; 0 if nothing is known of them.
    double others_ms = 0.0;
    std::size_t engines = 1;

    /// Time that the engines need for this work.
    double wait_ms() const;
};

/// A request that is about to be sent, and what its gateway knows.
struct room_request
{
    room_class urgency;
    double waited_ms = 0.0;
    /// Time until the latest moment at which its answer may begin.
    double left_ms = 0.0;
    /// Time to first byte at an idle engine.
    double idle_ms = 0.0;
    /// Expected queue of the chosen engine.
    double queue_ms = 0.0;
    /// No request that waits at this gateway precedes it.
    bool is_next = true;
    /// Requests that wait for the same model, and for any model of the service.
    waiting_work model;
    waiting_work service;
    /// Time since the last decision about it.
    double interval_ms = 0.0;
};

enum class room_action
{
    send,
    hold,
    /// Its answer is not expected in time, so the caller should come back later.
    refuse,
};

std::string_view to_string(room_action action);

enum class refusal_reason
{
    none,
    /// The answer would not begin before the deadline.
    deadline,
    /// The answer would be late, and the caller could be back before its turn.
    target,
};

std::string_view to_string(refusal_reason reason);

struct room_decision
{
    room_action action = room_action::hold;
    refusal_reason reason = refusal_reason::none;
    /// Longest queue to which the request may be sent.
    double limit_ms = 0.0;
    /// Expected time until an engine begins with the request.
    double wait_ms = 0.0;
};

/// Decides whether a request is sent to the chosen engine now. `draw` is a random number
/// in [0, 1).
room_decision decide_room(const room_request& request, double draw);

/// Returns the Retry-After of a request that is refused because of an expected wait of
/// `wait_ms` and has `left_ms` left. `draw` is a random number in [0, 1).
double retry_after_ms(double wait_ms, double left_ms, double draw);

} // namespace pomelorouter::coordination
