#pragma once

#include "coordination/team_usage_reports.hpp"
#include "state/clock.hpp"
#include "state/gateway_config.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelorouter::coordination
{

/// Whether a request is within the allowance of its team.
struct allowance_decision
{
    bool is_admitted = true;
    /// Time until there is room for the request; only if it is refused.
    state::milliseconds retry_after{0};
};

/// Another gateway that is known.
struct known_gateway
{
    std::string name;
    bool is_alive = true;
};

/// Figures of a team's allowance as one gateway knows them, in units of the allowance.
struct allowance_view
{
    double limit_per_s = 0.0;
    /// Use by all gateways.
    double asked_per_s = 0.0;
    double admitted_per_s = 0.0;
    /// What may still be admitted by all gateways in the current window.
    double room = 0.0;
};

/// Admits requests within the allowances of teams, which hold over all gateways together.
///
/// Each gateway estimates from its own count and the reports of the others what a team
/// has used in the last seconds, and takes its part of what is left. Parts follow the
/// demand. What gateways that are known and not heard may use is left to them: each of
/// them takes an equal part of the allowance.
class team_allowances
{
public:
    /// Replaces the teams. New teams begin without a known history, and a lowered limit
    /// holds at once.
    void set_teams(state::time_point now, const std::vector<state::team>& teams);
    /// Names the gateways that are known, this one excluded. A gateway keeps its part for
    /// a while after it was last alive, or first named.
    void set_known(state::time_point now, const std::vector<known_gateway>& gateways);
    /// Whether the list of gateways has been read. Before, nothing is admitted, since the
    /// own part is not known.
    void set_is_list_read(bool is_read) { this->is_list_read = is_read; }
    /// Replaces what the other gateways use. To be called several times a second.
    void set_others(state::time_point now, team_usage_report report);

    /// Returns the units that a request counts as.
    static double cost(const state::team_allowance& allowance, bool has_token_count,
                       std::uint64_t tokens);
    /// Counts a request of `team` as asked for, and decides whether it is admitted.
    /// `draw` is in [0, 1).
    allowance_decision admit(state::time_point now, std::string_view team, double cost,
                             double draw);
    /// Takes back a request that was admitted at `admitted_at` and has not run.
    void refund(state::time_point admitted_at, std::string_view team, double cost);
    /// Returns the use by this gateway.
    team_usage_report own_usage() const;
    allowance_view view(std::string_view team) const;
    /// Gateways among which allowances are divided, this one included.
    std::size_t known_gateways() const { return this->counted + 1; }
    /// Gateways that the reports cover, this one included.
    std::size_t covered_gateways() const { return this->covered; }

private:
    /// Use within a short time.
    struct slot
    {
        double asked = 0.0;
        double own = 0.0;
        double others = 0.0;
        /// Gateways whose use is known, this one included; 0 while the process did not
        /// run.
        std::size_t covered = 0;
    };
    static constexpr std::size_t slot_count = 41;

    struct team_state
    {
        state::team_allowance allowance;
        std::array<slot, slot_count> slots{};
        /// Position of the current slot.
        std::size_t position = 0;
        /// Units that this gateway may admit now. Negative after a request that was
        /// larger than the level.
        double level = 0.0;
        /// Growth of the level per second and its maximum.
        double refill_per_s = 0.0;
        double capacity = 0.0;
        double room = 0.0;
        /// The team asks for more than its limit, or there is little room, or the other
        /// gateways are unknown.
        bool is_over = true;
        /// Part of its cost up to which the level must grow before the next request, if
        /// the team is over its limit.
        std::optional<double> threshold;
        /// Largest cost of the recent requests.
        double usual_cost = 0.0;
        /// Costs of refused requests that were told to return.
        double promised = 0.0;
    };

    static slot& current(team_state& team) { return team.slots[team.position]; }
    /// Slot `age` places before the current one.
    static const slot& past(const team_state& team, std::size_t age);
    static double recent_per_s(const team_state& team, double slot::*value,
                               std::size_t first_age, std::size_t count);
    void advance(state::time_point now);
    void refill(state::time_point now, team_state& team) const;
    void plan_all();
    void plan(team_state& team, const team_rates& others) const;
    double used(const team_state& team) const;
    state::milliseconds time_until_room(const team_state& team, double cost) const;

    std::map<std::string, team_state, std::less<>> teams;
    struct gateway_times
    {
        state::time_point last_alive{};
        state::time_point last_named{};
    };

    std::map<std::string, gateway_times, std::less<>> known;
    /// Number of known gateways that have a part.
    std::size_t counted = 0;
    team_usage_report others;
    std::size_t covered = 1;
    bool is_list_read = false;
    state::time_point slot_begin{};
    /// Last time at which levels and slots were brought up to date.
    state::time_point updated{};
    state::time_point others_received{};
};

} // namespace pomelorouter::coordination
