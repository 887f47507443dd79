#pragma once

#include "protocol/gateway_heartbeat.hpp"
#include "protocol/send_permit.hpp"
#include "state/clock.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::coordination
{

/// Limits that backend servers name for the requests per second from all gateways
/// together, and the permits that this gateway holds for them. Without a permit, no
/// request may be sent to a backend server with a limit. Backend servers are named by id
/// and incarnation.
class backend_limits
{
public:
    /// Records that a response named the limit `per_s`, or none. Returns whether the
    /// limit has changed so much that the other gateways must know.
    bool on_response(state::time_point now, const std::string& backend,
                     std::optional<double> per_s);
    /// Applies the reports of another gateway. Returns the backend servers whose limits
    /// have changed.
    std::vector<std::string> merge(state::time_point now,
                                   const std::vector<protocol::backend_limit>& reports);
    /// Returns recent changes, for heartbeats.
    std::vector<protocol::backend_limit> reports(state::time_point now) const;

    /// The limit of a backend server; empty without one.
    std::optional<double> limit(std::string_view backend) const;
    /// The same if it was named at least `duration` ago.
    std::optional<double> lasting_limit(state::time_point now, std::string_view backend,
                                        state::milliseconds duration) const;
    /// Whether a request may be sent now: there is no limit, or a permit is left.
    bool may_send(state::time_point now, std::string_view backend) const;
    /// Earliest time at which the next permit is expected.
    state::time_point next_permit(state::time_point now, std::string_view backend) const;
    /// Uses a permit if the backend server has a limit.
    void on_sent(state::time_point now, std::string_view backend);

    /// Records that a request would use a permit. It is urgent if no other backend server
    /// can serve the request.
    void on_wanted(const std::string& backend, bool is_urgent);
    /// Returns the requests for permits that are due; each needs a grant or a failure.
    std::vector<protocol::permit_request> take_requests(state::time_point now,
                                                        std::size_t gateways);
    /// Processes the response of the issuing gateway, or its lack.
    void on_grant(state::time_point now, const std::string& backend,
                  const protocol::permit_grant& grant);
    void on_request_failed(state::time_point now, const std::string& backend);

    /// Drops ended limits, and those of processes that `is_listed` does not know, after a
    /// while.
    void forget_old(state::time_point now,
                    const std::function<bool(std::string_view)>& is_listed);

private:
    struct record
    {
        std::optional<double> per_s;
        /// When the limit, or its end, was last named.
        state::time_point named{};
        /// When the limit last changed enough to be reported, and when it began.
        state::time_point changed{};
        state::time_point begun{};
        int permits = 0;
        state::time_point permits_until{};
        /// Times at which permits were used recently.
        std::deque<state::time_point> used;
        bool is_wanted = false;
        bool is_urgent = false;
        bool is_requested = false;
        state::time_point next_request{};
        /// Earliest time for a request that is not urgent.
        state::time_point next_casual_request{};
    };

    const record* find(std::string_view backend) const;
    static bool is_different(const std::optional<double>& left,
                             const std::optional<double>& right);
    static void apply(record& item, state::time_point now, std::optional<double> per_s);

    std::map<std::string, record, std::less<>> records;
};

} // namespace pomelorouter::coordination
